package node

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

const (
	// minCompressedAnswerBytes and requestsFrom are the sizes in bytes from which exchanges are compressed. Between zones bytes are
	// dear, and inside one the whole state of a platform of 700 leaves, 175 KB, fills the link of a small VM, of some
	// 20 Mbit/s, for 70 ms. Requests are smaller as a rule, for who is to be told much is asked first: a VM that
	// compresses none of them has no second compressor, which takes a megabyte.
	minCompressedAnswerBytes, minCompressedRequestBytes = 1 << 10, 16 << 10
)

const gzipName = "gzip"

// newCompressor returns a compressor at the lowest level: it takes a third of the processor time of the usual one for a fifth
// more bytes, and a VM that tells many the platform's whole state answers nobody else meanwhile.
func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that exists
	}
	return w
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// fleetHandlerOptions are the options of the service: a client that accepts no compression gets none.
func fleetHandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzipName, newDecompressor, newCompressor), connect.WithCompressMinBytes(minCompressedAnswerBytes)}
}

// exchangeClientOptions are the options of a client for exchanges.
func exchangeClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor), connect.WithSendCompression(gzipName), connect.WithCompressMinBytes(minCompressedRequestBytes),
	}
}

// searchClientOptions are the options of a client for searches: these stay in the zone, take a few KB, and a caller waits.
func searchClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression(gzipName, nil, nil)}
}
