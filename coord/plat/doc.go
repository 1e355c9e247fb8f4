// Package plat is the narrow interface to the platform's workers and host list, with its HTTP and JSON adapter.
package plat
