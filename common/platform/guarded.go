package platform

import "context"

type guardedTable struct {
	service
	table Table
}

// Read implements Table.
func (t *guardedTable) Read(ctx context.Context, keys ...string) (rows []Row, err error) {
	return guarded(ctx, &t.service, "table.read", func(ctx context.Context) ([]Row, error) {
		return t.table.Read(ctx, keys...)
	})
}

// Scan implements Table.
func (t *guardedTable) Scan(ctx context.Context, prefix, from string, limit int) (rows []Row, err error) {
	return guarded(ctx, &t.service, "table.scan", func(ctx context.Context) ([]Row, error) {
		return t.table.Scan(ctx, prefix, from, limit)
	})
}

// Apply implements Table.
func (t *guardedTable) Apply(ctx context.Context, txn Txn) (result TxnResult, err error) {
	return guarded(ctx, &t.service, "table.apply", func(ctx context.Context) (TxnResult, error) {
		return t.table.Apply(ctx, txn)
	})
}

type guardedObjects struct {
	service
	objects ObjectStore
}

// Get implements ObjectStore.
func (o *guardedObjects) Get(ctx context.Context, name string) (value []byte, err error) {
	return guarded(ctx, &o.service, "objects.get", func(ctx context.Context) ([]byte, error) {
		return o.objects.Get(ctx, name)
	})
}

// Put implements ObjectStore.
func (o *guardedObjects) Put(ctx context.Context, name string, value []byte) (err error) {
	_, err = guarded(ctx, &o.service, "objects.put", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Put(ctx, name, value)
	})
	return err
}

// Delete implements ObjectStore.
func (o *guardedObjects) Delete(ctx context.Context, name string) (err error) {
	_, err = guarded(ctx, &o.service, "objects.delete", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Delete(ctx, name)
	})
	return err
}

type guardedVMs struct {
	service
	list VMList
}

// VMs implements VMList.
func (v *guardedVMs) VMs(ctx context.Context) (vms []VM, err error) {
	return guarded(ctx, &v.service, "vms.list", v.list.VMs)
}

type guardedWeights struct {
	service
	weights WeightStore
}

// Status implements WeightStore.
func (w *guardedWeights) Status(ctx context.Context) (status WeightStatus, err error) {
	return guarded(ctx, &w.service, "weights.status", w.weights.Status)
}
