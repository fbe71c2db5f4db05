// Command hawthornwick routes language-model traffic by service level and priority.
package main

func main() {}
