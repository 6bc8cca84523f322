package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// A frame is the length of its payload, the CRC of the payload and the CRC of
// these two fields, each in 4 bytes, followed by the payload. The header has a
// CRC of its own so that a damaged length is not followed.
const (
	headerSize = 12
	lengthAt   = 0
	payloadAt  = 4
	headerAt   = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBadFrame means that there is no valid frame at an offset.
var errBadFrame = eris.New("store: no valid frame")

func encodeFrame(m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "store: encode")
	}
	if len(payload) > math.MaxInt32 {
		return nil, eris.Errorf("store: a frame of %d bytes is too large", len(payload))
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(frame[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[payloadAt:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[headerAt:], crc32.Checksum(frame[:headerAt], castagnoli))
	return append(frame, payload...), nil
}

// header returns the payload length and CRC of the frame at the start of data.
func header(data []byte) (length int, sum uint32, ok bool) {
	if len(data) < headerSize {
		return 0, 0, false
	}
	if crc32.Checksum(data[:headerAt], castagnoli) != binary.LittleEndian.Uint32(data[headerAt:]) {
		return 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[lengthAt:]))
	return length, binary.LittleEndian.Uint32(data[payloadAt:]), true
}

// payload returns the payload of the frame at the start of data.
func payload(data []byte) ([]byte, error) {
	length, sum, ok := header(data)
	if !ok || len(data)-headerSize < length {
		return nil, errBadFrame
	}
	body := data[headerSize : headerSize+length]
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, errBadFrame
	}
	return body, nil
}

// torn reports whether the bad frame at the start of data can be the last
// write before a crash. A frame is written only after the one before it was
// synced, so that a bad frame with a valid one behind it was damaged later.
func torn(data []byte) bool {
	if length, _, ok := header(data); ok {
		return headerSize+length >= len(data)
	}
	for i := 1; i <= len(data)-headerSize; i++ {
		if _, err := payload(data[i:]); err == nil {
			return false
		}
	}
	return true
}
