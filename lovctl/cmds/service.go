package cmds

import (
	"fmt"
	"maps"
	"slices"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/lovctl/show"
)

func (a *app) serviceCommands() *flaggy.Subcommand {
	var customer, name string
	list := a.command("list", "List the services of one customer or of all.", func() error { return a.serviceList(customer) })
	list.AddPositionalValue(&customer, "customer", 1, false, "Show only this customer.")
	status := a.command("status", "Show a service and the entry processes at which its configuration is in effect.", func() error {
		return a.serviceStatus(customer, name)
	})
	status.AddPositionalValue(&customer, "customer", 1, true, "Name of the customer.")
	status.AddPositionalValue(&name, "service", 2, true, "Name of the service.")
	return group("service", "Long-running services.", list, status)
}

func (a *app) serviceList(customer string) error {
	if customer != "" {
		var current form.CurrentConfig
		done, err := a.get(configPath(customer), &current)
		if done || err != nil {
			return err
		}
		show.Services(a.Out, []form.CurrentConfig{current})
		return nil
	}
	asJSON := a.json
	a.json = false
	var status form.Status
	if _, err := a.get("/v1/config", &status); err != nil {
		return err
	}
	all := []form.CurrentConfig{}
	for _, id := range slices.Sorted(maps.Keys(status.Revisions)) {
		var current form.CurrentConfig
		if _, err := a.get(configPath(string(id)), &current); err != nil {
			return err
		}
		all = append(all, current)
	}
	if asJSON {
		return a.printJSON(all)
	}
	show.Services(a.Out, all)
	return nil
}

// serviceState is the JSON form of the status of a service.
type serviceState struct {
	Service    fleet.ServiceID  `json:"service"`
	Config     config.Service   `json:"config"`
	Customer   fleet.CustomerID `json:"customer"`
	Status     form.Status      `json:"status"`
	Everywhere bool             `json:"in_effect_everywhere"`
}

func (a *app) serviceStatus(customer, name string) error {
	asJSON := a.json
	a.json = false
	var current form.CurrentConfig
	if _, err := a.get(configPath(customer), &current); err != nil {
		return err
	}
	i := slices.IndexFunc(current.Document.Services, func(s config.Service) bool { return s.Name == name })
	if i < 0 {
		return fmt.Errorf("service %s/%s: %w", customer, name, errMissing)
	}
	var status form.Status
	if _, err := a.get("/v1/config?customer="+customer, &status); err != nil {
		return err
	}
	if asJSON {
		return a.printJSON(newServiceState(current, current.Document.Services[i], status))
	}
	current.Document.Services = current.Document.Services[i : i+1]
	show.Services(a.Out, []form.CurrentConfig{current})
	_, _ = fmt.Fprintln(a.Out)
	show.Status(a.Out, status)
	return nil
}

func newServiceState(current form.CurrentConfig, s config.Service, status form.Status) serviceState {
	everywhere := true
	for _, p := range status.Peers {
		everywhere = everywhere && p.Revisions[current.Customer] == current.Revision
	}
	return serviceState{
		Service: fleet.NewServiceID(current.Customer, s.Name), Config: s, Customer: current.Customer,
		Status: status, Everywhere: everywhere,
	}
}
