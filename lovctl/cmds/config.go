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
	amendCommand := a.command("amend", "Fill in or amend the questionnaire of a customer and apply the answers.", amend.run)
	amendCommand.AddPositionalValue(&amend.customer, "customer", 1, true, "Name of the customer.")
	amendCommand.String(&amend.file, "f", "file", "File with answers or a draft; without it lovctl asks the questionnaire on the terminal.")
	amendCommand.Int64(&amend.base, "b", "base", "Revision that the answers were derived from; required for a file of plain answers if the customer exists. 0 means a new customer, -1 the revision in the draft.")
	amendCommand.String(&amend.changeID, "c", "change-id", "Id of the change; pass the same id to repeat a change whose outcome is unknown.")
	amendCommand.String(&amend.keepPath, "k", "keep", "File to save the answers to if the change is not accepted (default: <customer>-<8 digits>.json).")
	amendCommand.Bool(&amend.yes, "y", "yes", "Apply the change without asking for confirmation.")
	amendCommand.Bool(&amend.dryRun, "n", "dry-run", "Show the differences without applying the change.")

	var customer, saveTo string
	showCommand := a.command("show", "Show the configuration of a customer.", func() error { return a.configShow(customer, saveTo) })
	showCommand.AddPositionalValue(&customer, "customer", 1, true, "Name of the customer.")
	showCommand.String(&saveTo, "d", "draft", "Also write the answers and their revision to this file, which can be edited and passed to amend --file.")

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
		a.messagef("The answers of revision %d are in %s.", current.Revision, saveTo)
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

// amendment holds the flags and the state of one run of "config amend".
type amendment struct {
	*app
	customer, file, changeID, keepPath string
	base                               int64
	yes, dryRun                        bool
	// interactive is set if the answers were entered on the terminal.
	interactive bool
}

func (c *amendment) run() error {
	if err := form.CheckCustomer(fleet.CustomerID(c.customer)); err != nil {
		return err
	}
	terminal := prompt.New(c.In, c.Err)
	d, err := c.newDraft(terminal)
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
		return c.saveUnaccepted(d, err)
	}
	if c.dryRun {
		return nil
	}
	if !c.yes && !terminal.Confirm("Put this into effect?") {
		return c.saveUnaccepted(d, errAborted)
	}
	return c.apply(d)
}

// newDraft reads the answers, and the revision that they were derived from, from the file or the terminal.
func (c *amendment) newDraft(terminal *prompt.Prompt) (draft.Draft, error) {
	if c.file != "" {
		return c.loadDraft()
	}
	current, err := c.currentConfig()
	if err != nil {
		return draft.Draft{}, err
	}
	var previous form.Answers
	if current.Revision > 0 {
		if previous, err = form.Decode(current.Answers); err != nil {
			return draft.Draft{}, err
		}
	}
	c.interactive = true
	d := draft.Draft{BaseRevision: current.Revision, HasBase: true}
	if c.base >= 0 {
		d.BaseRevision = store.Revision(c.base)
	}
	d.Answers, err = terminal.ReadAnswers(previous, fleet.CustomerID(c.customer))
	if err != nil {
		return draft.Draft{}, c.saveUnaccepted(d, err)
	}
	return d, nil
}

// loadDraft reads the draft or the plain answers from the file of --file; --base takes precedence over the base revision
// in the file.
func (c *amendment) loadDraft() (draft.Draft, error) {
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
	// A file without a base revision may be older than the current revision. Taking the current revision as its base
	// would undo changes made since.
	current, err := c.currentConfig()
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

// currentConfig returns the current configuration; its revision is zero for a new customer.
func (c *amendment) currentConfig() (form.CurrentConfig, error) {
	var current form.CurrentConfig
	data, err := c.client.Call(c.ctx, entry.RetryAlways, http.MethodGet, configPath(c.customer), nil)
	if statusErr := (*entry.StatusError)(nil); errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return current, nil
	}
	if err != nil {
		return current, err
	}
	return current, json.Unmarshal(data, &current)
}

// preview prints the differences that the draft would make. With --json they go to standard error, because standard
// output is for the response to the change; with --json and --dry-run the preview is printed as JSON instead.
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

// apply sends the change and prints the accepted revision.
func (c *amendment) apply(d draft.Draft) error {
	answers, err := form.Encode(d.Answers)
	if err != nil {
		return err
	}
	data, err := c.client.Call(c.ctx, entry.RetryAlways, http.MethodPut, configPath(c.customer),
		form.ChangeRequest{BaseRevision: d.BaseRevision, ChangeID: d.ChangeID, Answers: answers})
	if err != nil {
		return c.reportUnaccepted(d, err)
	}
	if c.json {
		show.JSON(c.Out, data)
		return nil
	}
	var response form.ChangeResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Out, "accepted: %s is at revision %d (change %s)\n", response.Customer, response.Revision, response.ChangeID)
	return nil
}

// reportUnaccepted prints why a change was not confirmed, saves the answers to a file and returns err.
func (c *amendment) reportUnaccepted(d draft.Draft, err error) error {
	statusErr := (*entry.StatusError)(nil)
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusConflict {
		c.messagef("Another operator was first: revision %d is current, your answers were derived from revision %d.",
			statusErr.Body.Revision, d.BaseRevision)
		show.Differences(c.Err, "Current answers (-) and yours (+):", statusErr.Body.Differences)
		d.ChangeID = ""
		defer c.messagef("After you have merged the differences into the file, repeat with --base %d.", statusErr.Body.Revision)
	}
	if unknown := (*entry.OutcomeUnknownError)(nil); errors.As(err, &unknown) {
		defer c.messagef("The file holds the change id: repeat it as it is with \"config amend %s --file\".", c.customer)
	}
	return c.saveUnaccepted(d, err)
}

// saveUnaccepted saves answers that were not accepted to a file and returns err. It saves nothing if the operator
// declined answers that were read from a file.
func (c *amendment) saveUnaccepted(d draft.Draft, err error) error {
	if !c.interactive && errors.Is(err, errAborted) {
		return err
	}
	path := c.keepPath
	if path == "" {
		path = fmt.Sprintf("%s-%s.json", c.customer, draft.NewID()[:8])
	}
	d.Answers.Customer = fleet.CustomerID(c.customer)
	if saveErr := draft.Save(path, d); saveErr != nil {
		return errors.Join(err, saveErr)
	}
	c.messagef("Your answers are kept in %s.", path)
	return err
}
