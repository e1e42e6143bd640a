package node

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

const (
	// minCompressedAnswerBytes and minCompressedRequestBytes are the sizes in bytes from which exchanges are
	// compressed. Traffic between zones is expensive, and within a zone the full state of a platform of 700
	// leaves, 175 KB, fills the link of a small VM, about 20 Mbit/s, for 70 ms. Requests are smaller as a rule,
	// since a VM asks a peer what it has before sending it much. A VM that compresses no requests allocates no
	// second compressor, which takes a megabyte.
	minCompressedAnswerBytes, minCompressedRequestBytes = 1 << 10, 16 << 10
)

const gzipName = "gzip"

// newCompressor returns a compressor at the fastest level. It takes a third of the processor time of the
// default level for a fifth more bytes, and a VM that sends the platform's full state to many others serves
// nothing else meanwhile.
func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// fleetHandlerOptions returns the options of the fleet service. A client that accepts no compression gets
// uncompressed answers.
func fleetHandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzipName, newDecompressor, newCompressor), connect.WithCompressMinBytes(minCompressedAnswerBytes)}
}

// exchangeClientOptions returns the options of a client for exchanges.
func exchangeClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor), connect.WithSendCompression(gzipName), connect.WithCompressMinBytes(minCompressedRequestBytes),
	}
}

// searchClientOptions returns the options of a client for searches, which disable compression: searches usually
// stay in the zone, take a few KB, and a caller waits for them.
func searchClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression(gzipName, nil, nil)}
}
