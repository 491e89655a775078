// Package etcd implements store.Store over the etcd v3 JSON gateway.
//
// # Usage
//
//	c, err := etcd.New(etcd.Settings{Addresses: []string{"http://10.0.0.5:2379"}, Timeout: 2 * time.Second})
//	defer c.Close()
package etcd

import "time"

// Settings sets up a Client.
type Settings struct {
	// Addresses are the base URLs of the gateways. They are tried in turn.
	Addresses []string
	// Timeout bounds each call other than a watch.
	Timeout time.Duration
	// MaxResponse bounds the size of a response in bytes.
	MaxResponse int64
}
