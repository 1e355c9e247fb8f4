// Command bench is described in README.md.
package main

func main() {}
