// Package kvsrv is an in-memory key-value store that speaks the etcd v3 JSON interface and can inject faults.
package kvsrv
