package registrar

import (
	"fmt"
	"strconv"
)

func (v *validator) checkServices() {
	serviceNames := newNameChecker(keyNamePunctuation, expectedKeyName, len(v.objects.Services))
	for i := range v.objects.Services {
		service := &v.objects.Services[i]
		s := checkedObject{validator: v, kind: KindService, index: i, name: service.Name}
		serviceNames.check(s, "name", service.Name)
		if service.LookupPath != "" {
			s.checkPath("lookup_path", service.LookupPath)
		}
		s.checkOperations(service.Operations)
	}
}

func (s checkedObject) checkPath(field, path string) {
	if path == "" || path[0] != '/' {
		s.report(field, strconv.Quote(path), `a path that starts with "/"`)
	}
}

func (s checkedObject) checkOperations(operations []Operation) {
	operationNames := newNameChecker(namePunctuation, expectedName, len(operations))
	calls := make(map[string]bool)
	for i, operation := range operations {
		field := fmt.Sprintf("operations[%d]", i)
		operationNames.check(s, field+".name", operation.Name)
		s.checkPath(field+".path", operation.Path)
		s.checkMethod(field+".method", operation.Method)
		if operation.Timeout < 0 {
			s.report(field+".timeout", operation.Timeout.String(), "a duration that is not negative")
		}
		call := operation.Method + " " + operation.Path
		if calls[call] {
			s.report(field, "the call "+strconv.Quote(call)+" again", "each method and path once")
		}
		calls[call] = true
	}
}

func (s checkedObject) checkMethod(field, method string) {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
		return
	}
	s.report(field, strconv.Quote(method), "GET, HEAD, POST, PUT, PATCH or DELETE")
}
