package configurer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

// maxUnpackedBytes bounds the size of a decompressed document, in bytes.
const maxUnpackedBytes = 256 << 20

// pack returns value as JSON, compressed with gzip.
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

// unpack decodes the output of pack.
func unpack[T any](content []byte) (value T, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("unpack gzipped JSON: %w", err)
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
