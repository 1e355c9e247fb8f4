// Package flow schedules jobs of dependent steps on leased workers: one reducer that owns every placement.
package flow
