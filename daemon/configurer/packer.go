package configurer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

// maxUnpackedBytes bounds what a compressed document may grow to.
const maxUnpackedBytes = 256 << 20

// pack returns the compressed JSON form of value.
func pack(value any) (content []byte, err error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err = json.NewEncoder(writer).Encode(value); err != nil {
		return nil, err
	}
	if err = writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack[T any](content []byte) (value T, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("unpack: %w", err)
		}
	}()
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return value, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
	if err != nil {
		return value, err
	}
	err = json.Unmarshal(plain, &value)
	return value, err
}
