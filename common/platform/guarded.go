package platform

import "context"

type guardedTable struct {
	guardedService
	table Table
}

// Read implements Table.
func (t *guardedTable) Read(ctx context.Context, keys ...string) (rows []Row, err error) {
	return callWithRetries(ctx, &t.guardedService, "table.read", func(ctx context.Context) ([]Row, error) {
		return t.table.Read(ctx, keys...)
	})
}

// Scan implements Table.
func (t *guardedTable) Scan(ctx context.Context, prefix, from string, limit int) (rows []Row, err error) {
	return callWithRetries(ctx, &t.guardedService, "table.scan", func(ctx context.Context) ([]Row, error) {
		return t.table.Scan(ctx, prefix, from, limit)
	})
}

// Apply implements Table.
func (t *guardedTable) Apply(ctx context.Context, txn Txn) (result TxnResult, err error) {
	return callWithRetries(ctx, &t.guardedService, "table.apply", func(ctx context.Context) (TxnResult, error) {
		return t.table.Apply(ctx, txn)
	})
}

type guardedObjects struct {
	guardedService
	objects ObjectStore
}

// Get implements ObjectStore.
func (o *guardedObjects) Get(ctx context.Context, name string) (value []byte, err error) {
	return callWithRetries(ctx, &o.guardedService, "objects.get", func(ctx context.Context) ([]byte, error) {
		return o.objects.Get(ctx, name)
	})
}

// Put implements ObjectStore.
func (o *guardedObjects) Put(ctx context.Context, name string, value []byte) (err error) {
	_, err = callWithRetries(ctx, &o.guardedService, "objects.put", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Put(ctx, name, value)
	})
	return err
}

// Delete implements ObjectStore.
func (o *guardedObjects) Delete(ctx context.Context, name string) (err error) {
	_, err = callWithRetries(ctx, &o.guardedService, "objects.delete", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Delete(ctx, name)
	})
	return err
}

type guardedVMs struct {
	guardedService
	list VMList
}

// VMs implements VMList.
func (v *guardedVMs) VMs(ctx context.Context) (vms []VM, err error) {
	return callWithRetries(ctx, &v.guardedService, "vms.list", v.list.VMs)
}

type guardedWeights struct {
	guardedService
	weights WeightStore
}

// Status implements WeightStore.
func (w *guardedWeights) Status(ctx context.Context) (status WeightStatus, err error) {
	return callWithRetries(ctx, &w.guardedService, "weights.status", w.weights.Status)
}
