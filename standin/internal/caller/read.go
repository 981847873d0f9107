package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// errorEventPrefix begins the last server-sent event of a failed stream.
var errorEventPrefix = []byte("event: error\n")

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// read reads the body to its end and sets TimeToFirstByte.
func (a *Answer) read(body io.Reader, start time.Time) error {
	buf := make([]byte, 16<<10)
	for len(a.Body) < maxAnswerBytes {
		n, err := body.Read(buf)
		if n > 0 && a.TimeToFirstByte == 0 {
			a.TimeToFirstByte = time.Since(start)
		}
		a.Body = append(a.Body, buf[:n]...)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errors.Errorf("answer is larger than %d bytes", maxAnswerBytes)
}

// streamFailure decodes the error event at the end of a stream; it returns nil if there
// is none.
func streamFailure(body []byte) *Failure {
	i := bytes.LastIndex(body, errorEventPrefix)
	if i < 0 || i > 0 && body[i-1] != '\n' {
		return nil
	}
	_, data, ok := bytes.Cut(body[i:], []byte("data: "))
	if !ok {
		return nil
	}
	data, _, _ = bytes.Cut(data, []byte("\n"))
	var failure Failure
	if json.Unmarshal(data, &failure) != nil {
		return nil
	}
	return &failure
}
