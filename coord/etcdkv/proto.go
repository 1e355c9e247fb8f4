package etcdkv

import (
	"lovagefork.example/coord/store"
)

// The JSON messages of the etcd v3 gateway. It encodes 64-bit integers as strings, and bytes as base64.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Value          []byte `json:"value"`
	Lease          int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
	More   bool       `json:"more"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// compare is a condition of a transaction. The revisions are pointers, because omitempty would leave out a revision of
// zero.
type compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
}

type requestOp struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type streamMessage[T any] struct {
	Result T          `json:"result"`
	Error  *errorBody `json:"error"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchResponse struct {
	Canceled        bool  `json:"canceled"`
	CompactRevision int64 `json:"compact_revision,string"`
	Events          []struct {
		Type string   `json:"type"`
		Kv   keyValue `json:"kv"`
	} `json:"events"`
}

type errorBody struct {
	Message string `json:"message"`
}

// prefixEnd returns the exclusive end of the range of all keys with the prefix; a zero byte stands for no upper bound.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// rangeStart returns the inclusive start of a range. The gateway does not accept an empty key, so a zero byte takes its
// place.
func rangeStart(key string) []byte {
	if key == "" {
		return []byte{0}
	}
	return []byte(key)
}

func encodeGet(g store.Get) *rangeRequest {
	if !g.Prefix {
		return &rangeRequest{Key: []byte(g.Key)}
	}
	start := rangeStart(g.Key)
	if g.After != "" && g.After >= g.Key {
		start = append([]byte(g.After), 0)
	}
	return &rangeRequest{Key: start, RangeEnd: prefixEnd(g.Key), Limit: int64(g.Limit)}
}

func encodeOps(ops []store.Op) []requestOp {
	encoded := make([]requestOp, 0, len(ops))
	for _, op := range ops {
		var r requestOp
		switch op := op.(type) {
		case store.Put:
			r.Put = &putRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}
		case store.Delete:
			r.Delete = &deleteRequest{Key: []byte(op.Key)}
			if op.Prefix {
				r.Delete = &deleteRequest{Key: rangeStart(op.Key), RangeEnd: prefixEnd(op.Key)}
			}
		case store.Get:
			r.Range = encodeGet(op)
		}
		encoded = append(encoded, r)
	}
	return encoded
}

func encodeCompares(conditions []store.Compare) []compare {
	encoded := make([]compare, 0, len(conditions))
	for _, c := range conditions {
		switch c := c.(type) {
		case store.KeyAbsent:
			encoded = append(encoded, compare{Result: "EQUAL", Target: "CREATE", Key: []byte(c.Key), CreateRevision: new(int64)})
		case store.KeyUnchanged:
			revision := int64(c.ModRevision)
			encoded = append(encoded, compare{Result: "EQUAL", Target: "MOD", Key: []byte(c.Key), ModRevision: &revision})
		case store.ValueEqual:
			encoded = append(encoded, compare{Result: "EQUAL", Target: "VALUE", Key: []byte(c.Key), Value: c.Value})
		}
	}
	return encoded
}

func decodeEntry(kv keyValue) store.Entry {
	return store.Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: store.Revision(kv.CreateRevision),
		ModRevision:    store.Revision(kv.ModRevision),
		Lease:          store.LeaseID(kv.Lease),
	}
}

func decodeRange(r rangeResponse) store.RangeResult {
	out := store.RangeResult{Revision: store.Revision(r.Header.Revision), More: r.More}
	for _, kv := range r.Kvs {
		out.Entries = append(out.Entries, decodeEntry(kv))
	}
	return out
}
