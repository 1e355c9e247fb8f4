// Package upkeep plans waves of machine maintenance ("upkeep" in the platform's API). A worker is evacuated before its
// machine is taken down, and at most as many machines of a wave are down at once as the wave's cap allows.
package upkeep
