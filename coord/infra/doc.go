// Package infra describes what the platform gives to a hosted deployment: settings, catalog, workers and their agents.
package infra
