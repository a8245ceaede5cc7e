// Package config holds the configuration that operators publish and the changes
// that lead from one configuration to the next.
//
// A configuration is a set of named objects: customers, their guaranteed shapes,
// racks with their workers, and services with their backend servers. A change sets
// or deletes one object. Applying the same changes to the same configuration gives
// the same result on every host; Apply never modifies its receiver, so a
// configuration can be shared and compared with its successor to draw a plan.
package config
