package storage

import (
	"bytes"
	"encoding/gob"

	"go.etcd.io/bbolt"
)

func putGob(bucket *bbolt.Bucket, key []byte, value any) error {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
		return err
	}
	return bucket.Put(key, encoded.Bytes())
}

func decodeGob(encoded []byte, value any) error {
	return gob.NewDecoder(bytes.NewReader(encoded)).Decode(value)
}
