package node

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// compressFrom is the size in bytes from which messages between availability zones are compressed: what word of a
// search or a ping takes isn't worth the processor time.
const compressFrom = 1 << 10

const gzipName = "gzip"

// fast returns a compressor at the lowest level: it takes a third of the processor time of the usual one for a fifth
// more bytes, and a VM that tells many the platform's whole state answers nobody else meanwhile.
func fast() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that exists
	}
	return w
}

func decompressor() connect.Decompressor { return &gzip.Reader{} }

// answers are the options of the service: a client that accepts no compression gets none.
func answers() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzipName, decompressor, fast), connect.WithCompressMinBytes(compressFrom)}
}

// compressed are the options of a client: between zones bytes are dear, inside a zone processor time is.
func compressed(near bool) []connect.ClientOption {
	if near {
		return []connect.ClientOption{connect.WithAcceptCompression(gzipName, nil, nil)}
	}
	return []connect.ClientOption{
		connect.WithAcceptCompression(gzipName, decompressor, fast), connect.WithSendCompression(gzipName), connect.WithCompressMinBytes(compressFrom),
	}
}
