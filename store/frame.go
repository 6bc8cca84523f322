package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// A frame consists of a header and a payload. The header holds the length of the
// payload, the CRC of the payload and the CRC of these two fields, in 4 bytes
// each. The header has a CRC of its own so that a damaged length is detected.
const (
	headerBytes      = 12
	lengthOffset     = 0
	payloadCRCOffset = 4
	headerCRCOffset  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBadFrame means that there is no valid frame at an offset.
var errBadFrame = eris.New("store: no valid frame")

func encodeFrame(m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "store: encode a frame")
	}
	if len(payload) > math.MaxInt32 {
		return nil, eris.Errorf("store: a frame of %d bytes is too large", len(payload))
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[payloadCRCOffset:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[headerCRCOffset:], crc32.Checksum(frame[:headerCRCOffset], castagnoli))
	return append(frame, payload...), nil
}

// decodeHeader returns the payload length and the payload CRC of the frame at the
// start of data.
func decodeHeader(data []byte) (length int, crc uint32, ok bool) {
	if len(data) < headerBytes {
		return 0, 0, false
	}
	if crc32.Checksum(data[:headerCRCOffset], castagnoli) != binary.LittleEndian.Uint32(data[headerCRCOffset:]) {
		return 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	return length, binary.LittleEndian.Uint32(data[payloadCRCOffset:]), true
}

// decodePayload returns the payload of the frame at the start of data.
func decodePayload(data []byte) ([]byte, error) {
	length, crc, ok := decodeHeader(data)
	if !ok || len(data)-headerBytes < length {
		return nil, errBadFrame
	}
	body := data[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoli) != crc {
		return nil, errBadFrame
	}
	return body, nil
}

// isTornWrite reports whether the invalid frame at the start of data can be the
// last write before a crash. A frame is only written after the previous one was
// synced, so an invalid frame that is followed by a valid one was damaged later.
func isTornWrite(data []byte) bool {
	if length, _, ok := decodeHeader(data); ok {
		return headerBytes+length >= len(data)
	}
	for i := 1; i <= len(data)-headerBytes; i++ {
		if _, err := decodePayload(data[i:]); err == nil {
			return false
		}
	}
	return true
}
