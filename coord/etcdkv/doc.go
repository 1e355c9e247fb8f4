// Package etcdkv implements [store.Client] with the JSON gateway of etcd v3, over HTTP.
package etcdkv
