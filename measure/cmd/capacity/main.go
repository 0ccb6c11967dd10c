// Command capacity is under construction.
package main

func main() {}
