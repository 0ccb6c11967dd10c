// Command measure is under construction.
package main

func main() {}
