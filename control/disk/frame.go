package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A file is a sequence of frames. Each frame holds the records of one sync. Its header is
// four little-endian 32-bit words:
//
//	magic, length of the payload in bytes, checksum of the payload, checksum of the header
//
// The payload follows: each record, preceded by its length as a variable-length integer.
// Checksums are CRC-32C; that of the header covers the other three words.
const (
	headerSize = 16
	frameMagic = 0x4c534846
	// maxPayloadBytes is the maximum length of a frame's payload.
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

// parseFrame returns the payload of the frame at the start of data, and the size of the
// frame with its header; ok is false if data does not start with an intact frame.
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

// splitRecords returns the records of a frame's payload.
func splitRecords(payload []byte) ([][]byte, error) {
	var records [][]byte
	for len(payload) > 0 {
		n, width := binary.Uvarint(payload)
		if width <= 0 || n > uint64(len(payload)-width) {
			return nil, errors.New("invalid record length")
		}
		records = append(records, payload[width:width+int(n)])
		payload = payload[width+int(n):]
	}
	return records, nil
}

// parseFrames returns the records of data and the length of its intact part. The rest of
// data counts as the torn frame of the last sync. If it contains an intact frame, it is
// damage instead and parseFrames returns an error.
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
			return nil, intact, errors.Errorf("record is damaged, but an intact frame follows at byte %d", i)
		}
	}
	return records, intact, nil
}
