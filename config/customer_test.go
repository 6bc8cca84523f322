package config

import (
	"fmt"
	"testing"
)

// BenchmarkCustomerOf measures the lookup that an instance makes for each statement or transaction.
func BenchmarkCustomerOf(b *testing.B) {
	doc := &Document{}
	keys := make([]Key, 1000)
	for i := range keys {
		keys[i] = NewKey(fmt.Sprint("secret-", i))
		if err := doc.AddCustomer(Customer{Name: fmt.Sprint("customer-", i)}, keys[i]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := doc.CustomerOf(keys[i%len(keys)]); !ok {
			b.Fatal("customer not found")
		}
	}
}
