// Package stand plays a soak: it runs entry processes beside stand-ins of the store, the workers and the callers on loopback,
// injects the faults of a plan and checks what workers and callers see.
package stand
