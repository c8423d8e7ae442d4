package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"

	"go.etcd.io/bbolt"
)

// bbolt has checksums of its meta pages alone. Each value is therefore followed by the CRC-32 (IEEE) of its key and its encoding, and that of
// the hard state, which every save writes, also by a digest of all others. Earlier versions read the value and ignore what follows it; what
// they write has no checksum, and a hard state of theirs makes the digest void.

// putGob stores a value with its checksum. extra is stored between the two.
func putGob(bucket *bbolt.Bucket, key []byte, value any, extra ...byte) error {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
		return err
	}
	encoded.Write(extra)
	return bucket.Put(key, binary.BigEndian.AppendUint32(encoded.Bytes(), checksum(key, encoded.Bytes())))
}

// checksum returns the checksum of a key and its value.
func checksum(key, encoded []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(key), crc32.IEEETable, encoded)
}

// decodeGob decodes a value and returns what was stored with it as extra. hasChecksum is false for a value that an earlier version wrote. Its
// error is ErrDamaged; the caller adds which value it is.
func decodeGob(key, encoded []byte, value any) (extra []byte, hasChecksum bool, err error) {
	reader := bytes.NewReader(encoded)
	if err := gob.NewDecoder(reader).Decode(value); err != nil {
		return nil, false, damaged("%v", err)
	}
	if reader.Len() == 0 {
		return nil, false, nil
	}
	if reader.Len() < checksumBytes {
		return nil, false, damaged("%d bytes follow the value", reader.Len())
	}
	end := len(encoded) - checksumBytes
	if checksum(key, encoded[:end]) != binary.BigEndian.Uint32(encoded[end:]) {
		return nil, false, damaged("the checksum does not match")
	}
	return encoded[len(encoded)-reader.Len() : end], true, nil
}

// digest returns a checksum of the identity and of the checksums of the snapshot and the entries, so that a missing or additional one shows.
func digest(tx *bbolt.Tx) []byte {
	sum := crc32.NewIEEE()
	add := func(key, value []byte) {
		_, _ = sum.Write(key) // a hash returns no error
		_, _ = sum.Write(value[max(0, len(value)-checksumBytes):])
	}
	meta := tx.Bucket(bucketMeta)
	_, _ = sum.Write(meta.Get(keyID))
	if snapshot := meta.Get(keySnapshot); snapshot != nil {
		add(keySnapshot, snapshot)
	}
	entries := tx.Bucket(bucketEntries).Cursor()
	for key, value := entries.First(); key != nil; key, value = entries.Next() {
		add(key, value)
	}
	return sum.Sum(nil)
}
