// Package patch encodes one version of a document relative to another one, so that a small
// change of a large document takes few bytes.
package patch

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// maxWindow is the size in bytes up to which base and document are compared as a whole.
	maxWindow = 16 << 20
	// MaxSize bounds a decoded document, in bytes.
	MaxSize = maxWindow
	// baseID is the dictionary ID of the base. There is only one.
	baseID = 1
)

// Encode returns the encoding of body relative to base, which may be empty.
func Encode(base, body []byte) ([]byte, error) {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowSize(len(base) + len(body)))}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "patch: create the encoder")
	}
	return e.EncodeAll(body, nil), e.Close()
}

// windowSize returns the least power of two that is not below n, within the limits of the
// encoder.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n && size < maxWindow {
		size *= 2
	}
	return size
}

// Decode returns the document that Encode encoded relative to base.
func Decode(base, data []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxSize), zstd.WithDecoderMaxWindow(maxWindow)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "patch: create the decoder")
	}
	defer d.Close()
	body, err := d.DecodeAll(data, nil)
	return body, eris.Wrap(err, "patch: decode")
}
