// Command review-3 plays the cases of the third review against processes of "entryd hosted".
package main

import (
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE [SEED]")
		os.Exit(2)
	}
	if entryProgram == "" {
		entryProgram = "target/entryd"
	}
	seed := uint64(1)
	if len(os.Args) > 2 {
		seed, _ = strconv.ParseUint(os.Args[2], 10, 64)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	record := os.Getenv("RECORD")
	if record == "" {
		record = "record.txt"
	}
	c, err := newChecker(record, seed)
	if err == nil {
		err = play(c, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.violations {
		fmt.Println("BROKEN", v)
	}
	fmt.Println("counts:", c.counts)
	if len(c.violations) > 0 {
		os.Exit(1)
	}
}
