// Package kvsrv implements an in-memory key-value store with the etcd v3 JSON interface and fault injection.
package kvsrv
