package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
	"lovagefork.example/lovctl/draft"
	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/prompt"
	"lovagefork.example/lovctl/show"
)

func configPath(customer string) string { return "/v1/config/" + url.PathEscape(customer) }

func (a *app) configCommands() *flaggy.Subcommand {
	amend := &amendment{app: a, base: -1}
	amendCommand := a.command("amend", "Answer or amend the questionnaire of a customer and put it into effect.", amend.run)
	amendCommand.AddPositionalValue(&amend.customer, "customer", 1, true, "Name of the customer.")
	amendCommand.String(&amend.file, "f", "file", "File with answers or a draft; without it the questionnaire is asked on the terminal.")
	amendCommand.Int64(&amend.base, "b", "base", "Revision that the answers were derived from; needed for a file of plain answers of an existing customer. 0 is for a new customer, -1 for the draft's own.")
	amendCommand.String(&amend.changeID, "c", "change-id", "Id of the change; use the same one to repeat a change of which the outcome is unknown.")
	amendCommand.String(&amend.keep, "k", "keep", "File that keeps the answers if the change is not accepted (default: <customer>-<8 digits>.json).")
	amendCommand.Bool(&amend.yes, "y", "yes", "Write without asking for confirmation.")
	amendCommand.Bool(&amend.dryRun, "n", "dry-run", "Show the differences and write nothing.")

	var customer, saveTo string
	showCommand := a.command("show", "Show the configuration of a customer.", func() error { return a.configShow(customer, saveTo) })
	showCommand.AddPositionalValue(&customer, "customer", 1, true, "Name of the customer.")
	showCommand.String(&saveTo, "d", "draft", "Also write the answers and their revision to this file, to be edited and passed to amend --file.")

	historyCommand := a.command("history", "Show the last changes of a customer, the newest first.", func() error { return a.configHistory(customer) })
	historyCommand.AddPositionalValue(&customer, "customer", 1, true, "Name of the customer.")

	statusCommand := a.command("status", "Show which revision is in effect at each entry process.", func() error { return a.configStatus(customer) })
	statusCommand.AddPositionalValue(&customer, "customer", 1, false, "Show only this customer.")

	return group("config", "Configuration of customers.", amendCommand, showCommand, historyCommand, statusCommand)
}

func (a *app) configShow(customer, saveTo string) error {
	data, err := a.client.Call(a.ctx, entry.RetryAlways, http.MethodGet, configPath(customer), nil)
	if err != nil {
		return err
	}
	var current form.CurrentConfig
	if err := json.Unmarshal(data, &current); err != nil {
		return err
	}
	if saveTo != "" {
		answers, err := form.Decode(current.Answers)
		if err != nil {
			return err
		}
		if err := draft.Save(saveTo, draft.Draft{BaseRevision: current.Revision, Answers: answers}); err != nil {
			return err
		}
		a.say("The answers of revision %d are in %s.", current.Revision, saveTo)
	}
	if a.json {
		show.JSON(a.Out, data)
		return nil
	}
	show.Config(a.Out, current)
	return nil
}

func (a *app) configHistory(customer string) error {
	var history form.History
	done, err := a.get(configPath(customer)+"/history", &history)
	if done || err != nil {
		return err
	}
	show.History(a.Out, history)
	return nil
}

func (a *app) configStatus(customer string) error {
	path := "/v1/config"
	if customer != "" {
		path += "?customer=" + url.QueryEscape(customer)
	}
	var status form.Status
	done, err := a.get(path, &status)
	if done || err != nil {
		return err
	}
	show.Status(a.Out, status)
	return nil
}

// amendment is one run of "config amend".
type amendment struct {
	*app
	customer, file, changeID, keep string
	base                           int64
	yes, dryRun                    bool
	// typed is set if the answers were typed on the terminal.
	typed bool
}

func (c *amendment) run() error {
	if err := form.CheckCustomer(fleet.CustomerID(c.customer)); err != nil {
		return err
	}
	terminal := prompt.New(c.In, c.Err)
	d, err := c.draft(terminal)
	if err != nil {
		return err
	}
	if c.changeID != "" {
		d.ChangeID = c.changeID
	}
	if d.ChangeID == "" {
		d.ChangeID = draft.NewID()
	}
	if err := c.preview(d); err != nil {
		return c.kept(d, err)
	}
	if c.dryRun {
		return nil
	}
	if !c.yes && !terminal.Confirm("Put this into effect?") {
		return c.kept(d, errAborted)
	}
	return c.write(d)
}

// draft reads the answers from the file or the terminal, with the revision that they were derived from.
func (c *amendment) draft(terminal *prompt.Prompt) (draft.Draft, error) {
	if c.file != "" {
		return c.fromFile()
	}
	current, err := c.current()
	if err != nil {
		return draft.Draft{}, err
	}
	var before form.Answers
	if current.Revision > 0 {
		if before, err = form.Decode(current.Answers); err != nil {
			return draft.Draft{}, err
		}
	}
	c.typed = true
	d := draft.Draft{BaseRevision: current.Revision, HasBase: true}
	if c.base >= 0 {
		d.BaseRevision = store.Revision(c.base)
	}
	d.Answers, err = terminal.ReadAnswers(before, fleet.CustomerID(c.customer))
	if err != nil {
		return draft.Draft{}, c.kept(d, err)
	}
	return d, nil
}

func (c *amendment) fromFile() (draft.Draft, error) {
	d, err := draft.Load(c.file)
	if err != nil {
		return draft.Draft{}, err
	}
	if string(d.Answers.Customer) != c.customer {
		return draft.Draft{}, &form.FieldError{
			Field: "customer", Value: string(d.Answers.Customer), Allowed: fmt.Sprintf("%q as on the command line", c.customer),
		}
	}
	if c.base >= 0 {
		d.BaseRevision, d.HasBase = store.Revision(c.base), true
	}
	if d.HasBase {
		return d, nil
	}
	// The current revision must not be assumed as the base of a file of unknown age: that would undo later changes.
	current, err := c.current()
	if err != nil {
		return draft.Draft{}, err
	}
	if current.Revision > 0 {
		return draft.Draft{}, &UsageError{Reason: fmt.Sprintf(
			"%s has a configuration (revision %d): pass --base with the revision that the file was derived from, or edit a draft of \"config show --draft\"",
			c.customer, current.Revision)}
	}
	return d, nil
}

// current returns the configuration in effect; its revision is zero for a new customer.
func (c *amendment) current() (form.CurrentConfig, error) {
	var current form.CurrentConfig
	data, err := c.client.Call(c.ctx, entry.RetryAlways, http.MethodGet, configPath(c.customer), nil)
	if refused := (*entry.StatusError)(nil); errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return current, nil
	}
	if err != nil {
		return current, err
	}
	return current, json.Unmarshal(data, &current)
}

func (c *amendment) preview(d draft.Draft) error {
	answers, err := form.Encode(d.Answers)
	if err != nil {
		return err
	}
	data, err := c.client.Call(c.ctx, entry.RetryAlways, http.MethodPost, configPath(c.customer)+"/preview",
		form.PreviewRequest{Answers: answers})
	if err != nil {
		return err
	}
	out := c.Out
	if c.json {
		if c.dryRun {
			show.JSON(c.Out, data)
			return nil
		}
		out = c.Err
	}
	var preview form.Preview
	if err := json.Unmarshal(data, &preview); err != nil {
		return err
	}
	show.Differences(out, fmt.Sprintf("Answers, against revision %d:", preview.Revision), preview.Differences)
	show.Differences(out, "Generated configuration:", preview.DocumentDifferences)
	return nil
}

func (c *amendment) write(d draft.Draft) error {
	answers, err := form.Encode(d.Answers)
	if err != nil {
		return err
	}
	data, err := c.client.Call(c.ctx, entry.RetryAlways, http.MethodPut, configPath(c.customer),
		form.ChangeRequest{BaseRevision: d.BaseRevision, ChangeID: d.ChangeID, Answers: answers})
	if err != nil {
		return c.notAccepted(d, err)
	}
	if c.json {
		show.JSON(c.Out, data)
		return nil
	}
	var answer form.ChangeResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Out, "accepted: %s is at revision %d (change %s)\n", answer.Customer, answer.Revision, answer.ChangeID)
	return nil
}

// notAccepted tells what happened to a change and keeps the answers in a file.
func (c *amendment) notAccepted(d draft.Draft, err error) error {
	refused := (*entry.StatusError)(nil)
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		c.say("Another operator was first: revision %d is current, your answers were derived from revision %d.",
			refused.Body.Revision, d.BaseRevision)
		show.Differences(c.Err, "Current answers (-) and yours (+):", refused.Body.Differences)
		d.ChangeID = ""
		defer c.say("After you have merged the differences into the file, repeat with --base %d.", refused.Body.Revision)
	}
	if unclear := (*entry.OutcomeUnknownError)(nil); errors.As(err, &unclear) {
		defer c.say("The file holds the change id: repeat it as it is with \"config amend %s --file\".", c.customer)
	}
	return c.kept(d, err)
}

// kept writes answers that were not accepted to a file and returns err. A file that the operator declined is left alone.
func (c *amendment) kept(d draft.Draft, err error) error {
	if !c.typed && errors.Is(err, errAborted) {
		return err
	}
	path := c.keep
	if path == "" {
		path = fmt.Sprintf("%s-%s.json", c.customer, draft.NewID()[:8])
	}
	d.Answers.Customer = fleet.CustomerID(c.customer)
	if saveErr := draft.Save(path, d); saveErr != nil {
		return errors.Join(err, saveErr)
	}
	c.say("Your answers are kept in %s.", path)
	return err
}
