package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the scripted cases by name. Each returns how the rule was broken, or an empty text if it held.
var cases = map[string]func(*world) (string, error){
	"backlog": backlog,
	"gangs":   gangs,
	"pending": pending,
	"reborn":  reborn,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	dir := flag.String("dir", ".", "folder of record.txt")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	os.Exit(play(*root, *dir, *name))
}

func play(root, dir, name string) int {
	c, found := cases[name]
	if !found {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	w, err := newWorld(root, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	defer w.close()
	broken, err := c(w)
	switch {
	case err != nil:
		w.note("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitNotRun
	case broken != "":
		w.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
