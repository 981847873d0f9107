package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A file is a sequence of frames. Each holds the records of one sync:
//
//	magic, length of the payload, checksum of the payload, checksum of the header
//
// as four little-endian 32-bit words, then the payload: each record with its length
// before it as a variable-length integer.
const (
	headerSize = 16
	frameMagic = 0x4c534846
	// maxFrame bounds the payload of one frame in bytes.
	maxPayloadBytes = 1 << 30
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of the records to buf.
func appendFrame(buf []byte, records [][]byte) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	for _, rec := range records {
		buf = binary.AppendUvarint(buf, uint64(len(rec)))
		buf = append(buf, rec...)
	}
	payload := buf[start+headerSize:]
	if len(payload) > maxPayloadBytes {
		return nil, errors.Errorf("records of one sync have %d bytes; at most %d are allowed", len(payload), maxPayloadBytes)
	}
	header := buf[start : start+headerSize]
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], crcTable))
	return buf, nil
}

// frameAt returns the payload of the whole frame at the start of data, and its size
// with the header; ok is false when there is none.
func parseFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}
	if crc32.Checksum(data[:12], crcTable) != binary.LittleEndian.Uint32(data[12:]) {
		return nil, 0, false
	}
	size = headerSize + int(binary.LittleEndian.Uint32(data[4:]))
	if size > len(data) {
		return nil, 0, false
	}
	payload = data[headerSize:size]
	return payload, size, crc32.Checksum(payload, crcTable) == binary.LittleEndian.Uint32(data[8:])
}

// splitRecords splits the payload of a frame.
func splitRecords(payload []byte) ([][]byte, error) {
	var records [][]byte
	for len(payload) > 0 {
		n, width := binary.Uvarint(payload)
		if width <= 0 || n > uint64(len(payload)-width) {
			return nil, errors.New("length of a record is wrong")
		}
		records = append(records, payload[width:width+int(n)])
		payload = payload[width+int(n):]
	}
	return records, nil
}

// parse returns the records of data and the length of its intact part. What follows is
// the torn tail of the last sync, unless a whole frame follows it.
func parseFrames(data []byte) (records [][]byte, intact int, err error) {
	for intact < len(data) {
		payload, size, ok := parseFrame(data[intact:])
		if !ok {
			break
		}
		recs, err := splitRecords(payload)
		if err != nil {
			return nil, intact, err
		}
		records = append(records, recs...)
		intact += size
	}
	for i := intact + 1; i+headerSize <= len(data); i++ {
		if _, _, ok := parseFrame(data[i:]); ok {
			return nil, intact, errors.Errorf("record is damaged and intact records follow at byte %d", i)
		}
	}
	return records, intact, nil
}
