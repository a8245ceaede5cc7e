package config

import (
	"errors"
	"fmt"

	"curlewsill.org/curlewsill/core/id"
)

// ErrInvalid reports a change or a configuration that violates a constraint on
// an object's fields. The error text names the object and the field.
var ErrInvalid = errors.New("config: invalid")

// Change sets or deletes one object. Exactly one field is set.
type Change struct {
	SetCustomer     *Customer    `cbor:"1,keyasint,omitempty" json:"set_customer,omitempty"`
	SetGuarantee    *Guarantee   `cbor:"2,keyasint,omitempty" json:"set_guarantee,omitempty"`
	SetRack         *Rack        `cbor:"3,keyasint,omitempty" json:"set_rack,omitempty"`
	SetService      *Service     `cbor:"4,keyasint,omitempty" json:"set_service,omitempty"`
	DeleteCustomer  id.Customer  `cbor:"5,keyasint,omitempty" json:"delete_customer,omitempty"`
	DeleteGuarantee id.Guarantee `cbor:"6,keyasint,omitempty" json:"delete_guarantee,omitempty"`
	DeleteRack      id.Rack      `cbor:"7,keyasint,omitempty" json:"delete_rack,omitempty"`
	DeleteService   id.Service   `cbor:"8,keyasint,omitempty" json:"delete_service,omitempty"`
}

// String returns the kind and the id of the object, and whether it is set or
// deleted.
func (c Change) String() string {
	switch {
	case c.SetCustomer != nil:
		return fmt.Sprintf("set customer %s", c.SetCustomer.ID)
	case c.SetGuarantee != nil:
		return fmt.Sprintf("set guarantee %s", c.SetGuarantee.ID)
	case c.SetRack != nil:
		return fmt.Sprintf("set rack %s", c.SetRack.ID)
	case c.SetService != nil:
		return fmt.Sprintf("set service %s", c.SetService.ID)
	case c.DeleteCustomer != "":
		return fmt.Sprintf("delete customer %s", c.DeleteCustomer)
	case c.DeleteGuarantee != "":
		return fmt.Sprintf("delete guarantee %s", c.DeleteGuarantee)
	case c.DeleteRack != "":
		return fmt.Sprintf("delete rack %s", c.DeleteRack)
	case c.DeleteService != "":
		return fmt.Sprintf("delete service %s", c.DeleteService)
	}
	return "empty change"
}
