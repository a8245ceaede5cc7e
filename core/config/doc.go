// Package config defines the configuration that operators publish and the changes
// between one configuration and the next.
//
// A configuration is a set of named objects: customers, guarantees for customers,
// racks with their workers, and services. A change sets or deletes one object.
// Applying the same changes to the same configuration gives the same result on
// every host. Apply never modifies its receiver, so a configuration can be shared,
// and compared with its successor to compute a plan.
package config
