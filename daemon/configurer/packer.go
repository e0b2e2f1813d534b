package configurer

import (
	"compress/gzip"
	"encoding/json"
	"fmt"

	"yuccaspread/common/packer"
)

// maxUnpackedBytes bounds the size of a decompressed document, in bytes.
const maxUnpackedBytes = 256 << 20

// pack returns value as JSON, compressed.
func pack(value any) (content []byte, err error) {
	plain, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return packer.New(gzip.DefaultCompression).Pack(plain), nil
}

// unpack decodes the output of pack.
func unpack[T any](content []byte) (value T, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read packed JSON: %w", err)
		}
	}()
	plain, err := packer.Unpack(content, maxUnpackedBytes)
	if err != nil {
		return value, err
	}
	err = json.Unmarshal(plain, &value)
	return value, err
}
