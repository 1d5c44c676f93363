package demonstrator

import "context"

// RunInteractive prints addresses and example commands and waits until ctx is done.
func (demonstrator *Demonstrator) RunInteractive(ctx context.Context) error {
	print := demonstrator.config.Printer
	plan := demonstrator.config.Plan
	for _, instance := range demonstrator.config.Fleet.Instances() {
		print.Step("%s: callers http://%s, operators http://%s", instance.Name(), instance.CallerAddress(), instance.AdminAddress())
	}
	service, tenant := plan.Services()[0], plan.Tenants()[0]
	daemon := "http://" + demonstrator.config.Fleet.Instances()[0].CallerAddress()
	url := daemon + service.Path() + "k-1"
	print.Step("try: curl -i -H 'lagoonlanding-tenant: %s' %s", tenant.Name(), url)
	print.Step("try: curl -s %s/.lagoonlanding/ticket", daemon)
	print.Step("try: curl -i -X POST -H 'lagoonlanding-tenant: %s' -H 'lagoonlanding-idempotency-key: first' -H 'lagoonlanding-ticket: TICKET' %s", tenant.Name(), url)
	print.Step("interrupt to stop all processes")
	<-ctx.Done()
	return nil
}
