// Command zinniactl is part of the zinniatide query tier.
package main

func main() {}
