package config

import (
	"strings"

	"yuccausher/internal/fault"
)

// fieldList collects invalid fields.
type fieldList []fault.Field

func (f *fieldList) add(path, message string) {
	*f = append(*f, fault.Field{Path: path, Message: message})
}

// checkNames rejects duplicate names within a list and names with leading or
// trailing space.
func checkNames(d *Document) []fault.Field {
	var f fieldList
	checkUniqueNames(&f, "firms", d.Organisations, func(v Organisation) string { return v.Name })
	checkUniqueNames(&f, "agents", d.Agents, func(v Agent) string { return v.Name })
	checkUniqueNames(&f, "classes", d.Classes, func(v Class) string { return v.Name })
	checkUniqueNames(&f, "models", d.Models, func(v Model) string { return v.Name })
	checkUniqueNames(&f, "targets", d.Targets, func(v Target) string { return v.Name })
	checkUniqueNames(&f, "services", d.Services, func(v Service) string { return v.Name })
	for i, v := range d.Services {
		checkUniqueNames(&f, joinPath(indexPath("services", i), "operations"), v.Operations, func(o Operation) string { return o.Name })
	}
	return f
}

func checkUniqueNames[T any](f *fieldList, path string, list []T, name func(T) string) {
	seen := make(map[string]struct{}, len(list))
	for i, entry := range list {
		n := name(entry)
		where := joinPath(indexPath(path, i), "name")
		if n != strings.TrimSpace(n) {
			f.add(where, "must not begin or end with space")
		}
		if _, ok := seen[n]; ok {
			f.add(where, "stands twice: "+n)
		}
		seen[n] = struct{}{}
	}
}

func namesOf[T any](list []T, name func(T) string) map[string]bool {
	names := make(map[string]bool, len(list))
	for _, entry := range list {
		names[name(entry)] = true
	}
	return names
}

// checkReferences rejects references to entries that do not exist.
func checkReferences(d *Document) []fault.Field {
	var f fieldList
	organisations := namesOf(d.Organisations, func(v Organisation) string { return v.Name })
	classes := namesOf(d.Classes, func(v Class) string { return v.Name })
	for i, a := range d.Agents {
		path := indexPath("agents", i)
		checkReference(&f, joinPath(path, "firm"), "firm", a.Organisation, organisations)
		checkReference(&f, joinPath(path, "class"), "class", a.Class, classes)
	}
	models := namesOf(d.Models, func(v Model) string { return v.Name })
	services := namesOf(d.Services, func(v Service) string { return v.Name })
	for i := range d.Targets {
		checkTarget(&f, indexPath("targets", i), &d.Targets[i], models, services)
	}
	return f
}

// checkReference checks one reference. Empty references are left to checkValues.
func checkReference(f *fieldList, path, kind, name string, known map[string]bool) {
	if name != "" && !known[name] {
		f.add(path, "no "+kind+" of the name "+name)
	}
}

func checkTarget(f *fieldList, path string, t *Target, models, services map[string]bool) {
	checkReference(f, joinPath(path, "model"), "model", t.Model, models)
	seen := make(map[string]bool, len(t.Services))
	for i, name := range t.Services {
		where := indexPath(joinPath(path, "services"), i)
		if !services[name] {
			f.add(where, "no service of the name "+name)
		}
		if seen[name] {
			f.add(where, "stands twice: "+name)
		}
		seen[name] = true
	}
	if (t.Model == "") == (len(t.Services) == 0) {
		f.add(path, "must serve either a model or services")
	}
	if t.Role != "" && t.Model == "" {
		f.add(joinPath(path, "role"), "only a target that serves a model has a role")
	}
}

// checkCoverage rejects models and services that no target serves.
func checkCoverage(d *Document) []fault.Field {
	var f fieldList
	models, services := make(map[string]bool), make(map[string]bool)
	for _, t := range d.Targets {
		models[t.Model] = true
		for _, name := range t.Services {
			services[name] = true
		}
	}
	for i, m := range d.Models {
		if !models[m.Name] {
			f.add(indexPath("models", i), "no target serves the model "+m.Name)
		}
	}
	for i, v := range d.Services {
		if !services[v.Name] {
			f.add(indexPath("services", i), "no target offers the service "+v.Name)
		}
	}
	return f
}

// checkBudgets rejects budgets below the output limit of every model, which no
// call fits into.
func checkBudgets(d *Document) []fault.Field {
	var f fieldList
	least := smallestOutputLimit(d.Models)
	for i, v := range d.Organisations {
		if v.BudgetTokens < least {
			f.add(joinPath(indexPath("firms", i), "budget_tokens"), "is below a single call of any model")
		}
	}
	for i, a := range d.Agents {
		if a.MaxTokens != 0 && a.MaxTokens < least {
			f.add(joinPath(indexPath("agents", i), "max_tokens"), "is below a single call of any model")
		}
	}
	return f
}

// smallestOutputLimit returns the smallest MaxOutputTokens of the models, in
// tokens, or 0 without models.
func smallestOutputLimit(models []Model) int64 {
	var least int64
	for i, m := range models {
		if i == 0 || m.MaxOutputTokens < least {
			least = m.MaxOutputTokens
		}
	}
	return least
}

// checkFixed rejects a change of Partitions or Streams from the document in force.
func checkFixed(d, inForce *Document) []fault.Field {
	var f fieldList
	if inForce == nil {
		return nil
	}
	if d.Partitions != inForce.Partitions {
		f.add("partitions", "can't change once a document is in force")
	}
	if d.Streams != inForce.Streams {
		f.add("streams", "can't change once a document is in force")
	}
	return f
}
