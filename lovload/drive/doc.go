// Package drive runs an experiment against running processes. Arrivals are open-loop: they don't wait for the responses
// to earlier ones.
package drive
