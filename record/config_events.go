package record

import (
	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/router"
)

// Field of the message Begin, which stores a router.Config in its JSON form.
const configJSON = 1

// appendConfig appends a configuration with the names of tenants replaced by hashes.
func appendConfig(b *encoder, number protowire.Number, c router.Config, hash hashFunc) error {
	tenants := c.Tenants
	c.Tenants = nil
	for _, t := range tenants {
		t.Name = hash(t.Name)
		c.Tenants = append(c.Tenants, t)
	}
	text, err := marshalConfig(c)
	b.message(number, func(b *encoder) { b.text(configJSON, string(text)) })
	return err
}

// decodeConfig returns the configuration in a message, or nil if the message has none.
func decodeConfig(message []byte) (c *router.Config, err error) {
	err = eachField(message, func(f field) (err error) {
		if f.number == configJSON {
			c, err = unmarshalConfig(f.bytes)
		}
		return err
	})
	return c, err
}

func decodeConfigChanged(message []byte) (router.Event, error) {
	c, err := decodeConfig(message)
	if c == nil {
		return nil, err
	}
	return router.ConfigChanged{Config: *c}, err
}
