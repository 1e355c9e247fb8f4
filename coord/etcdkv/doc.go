// Package etcdkv is the adapter of package store to the etcd v3 JSON interface over HTTP.
package etcdkv
