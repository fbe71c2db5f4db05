package cli

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// Keys are random, with a prefix by which people and secret scanners recognise them.
const (
	keyPrefix      = "hw_"
	keyRandomBytes = 32
)

func newKey() string {
	secret := make([]byte, keyRandomBytes)
	rand.Read(secret) // never returns an error
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

func (a *app) keyCommands() []command {
	return []command{
		{name: "grant", short: "Make a key for an organisation", long: "Make a random key on this machine and let it act for an organisation. Only the key's digest is sent; the key is printed once and kept nowhere.", run: &keyGrantCommand{app: a}},
		{name: "withdraw", short: "End a key", long: "End a key: new and queued requests are refused and open streams end within seconds. It cannot be granted again. Takes effect on reachable instances even when the table service is down.", run: &keyWithdrawCommand{app: a}},
		{name: "list", short: "List keys by digest", long: "List the digests of all keys that were ever granted.", run: &keyListCommand{app: a}},
	}
}

// keyGrantCommand creates a key and grants it to an organisation.
type keyGrantCommand struct {
	app  *app
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION" description:"Name of the organisation in the configuration"`
	} `positional-args:"yes" required:"yes"`
	target
	wait
	output
}

// grantReport is the output of `key grant`.
type grantReport struct {
	Key          string           `json:"key"`
	Digest       config.KeyDigest `json:"digest"`
	Organisation string           `json:"organisation"`
	changeReport
}

// Execute implements flags.Commander.
func (c *keyGrantCommand) Execute([]string) error {
	c.app.json = c.JSON
	instance, err := c.client()
	if err != nil {
		return err
	}
	key := newKey()
	digest := config.DigestKey(key)
	change, err := instance.GrantKey(c.app.ctx, digest, c.Args.Organisation)
	if err != nil {
		return err
	}
	progress, err := c.app.awaitInForce(instance, change, c.wait)
	r := grantReport{key, digest, c.Args.Organisation, changeReport{change, progress}}
	printErr := c.app.print(c.output, r, func(w io.Writer) {
		fmt.Fprintf(w, "key:    %s\ndigest: %s\n", key, digest)
		r.text(w, "key of "+c.Args.Organisation+" is granted")
	})
	if printErr != nil {
		return printErr
	}
	return err
}

// keyWithdrawCommand revokes a key.
type keyWithdrawCommand struct {
	app  *app
	Args struct {
		Key string `positional-arg-name:"KEY" description:"The key; - reads it from the standard input"`
	} `positional-args:"yes"`
	Digest string `long:"digest" value-name:"DIGEST" description:"Digest of the key, in place of KEY"`
	target
	wait
	output
}

// Execute implements flags.Commander.
func (c *keyWithdrawCommand) Execute([]string) error {
	c.app.json = c.JSON
	digest, err := c.digest()
	if err != nil {
		return err
	}
	instance, err := c.client()
	if err != nil {
		return err
	}
	change, err := instance.WithdrawKey(c.app.ctx, digest)
	if err != nil {
		return err
	}
	return c.app.report(instance, change, c.wait, c.output, "key is withdrawn")
}

func (c *keyWithdrawCommand) digest() (config.KeyDigest, error) {
	if (c.Digest == "") == (c.Args.Key == "") {
		return "", invalidInput("expected exactly one of KEY and --digest")
	}
	if c.Digest != "" {
		return config.KeyDigest(strings.ToLower(c.Digest)), nil
	}
	if c.Args.Key != standardInput {
		return config.DigestKey(c.Args.Key), nil
	}
	key, err := c.app.readText(standardInput)
	return config.DigestKey(strings.TrimSpace(key)), err
}

// keyListCommand lists all keys by digest.
type keyListCommand struct {
	app *app
	target
	output
}

// Execute implements flags.Commander.
func (c *keyListCommand) Execute(args []string) error {
	instance, err := c.open(c.app, c.output, args)
	if err != nil {
		return err
	}
	keys, err := instance.Keys(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(c.output, keys, func(w io.Writer) {
		table(w, func(row func(string, ...any)) {
			row("ORGANISATION\tSTATE\tDIGEST")
			for _, k := range keys {
				row("%s\t%s\t%s", k.Organisation, keyState(k.Withdrawn), k.Digest)
			}
		})
	})
}

func keyState(withdrawn bool) string {
	if withdrawn {
		return "withdrawn"
	}
	return "granted"
}
