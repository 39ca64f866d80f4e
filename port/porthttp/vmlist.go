package porthttp

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// vmList is the platform's list of VMs, without the entries that name no VM.
type vmList struct {
	vms []port.VM
	// rejected is the number of entries that were left out, and firstProblem what is
	// wrong with the first of them.
	rejected     int
	firstProblem error
}

// maxListNesting is the number of levels of a VM list that are decoded. The list itself
// has three, and the parser refuses a whole list in which one entry has too many.
const maxListNesting = 16

// decodeVMList decodes a list of VMs entry by entry, so that one that can't be used does
// not hide the others.
func decodeVMList(data []byte) (vmList, error) {
	body, err := decodeJSON[struct {
		VMs []json.RawMessage `json:"vms"`
	}](limitNesting(data, maxListNesting))
	if err != nil {
		return vmList{}, err
	}
	list := vmList{vms: make([]port.VM, 0, len(body.VMs))}
	for _, entry := range body.VMs {
		vm, err := decodeVM(entry)
		if err == nil {
			list.vms = append(list.vms, vm)
			continue
		}
		list.rejected++
		if list.firstProblem == nil {
			list.firstProblem = err
		}
	}
	return list, nil
}

// decodeVM decodes an entry of the VM list. It fails unless the entry has an id and, if it
// has an address, one that can be reached. A VM that has just been added may have none.
func decodeVM(entry []byte) (port.VM, error) {
	var vm port.VM
	if err := json.Unmarshal(entry, &vm); err != nil {
		return vm, errors.Wrap(err, "decoding an entry of the VM list")
	}
	if vm.ID == "" {
		return vm, errors.New("an entry of the VM list without an id")
	}
	if vm.Address == "" {
		return vm, nil
	}
	host, portText, err := net.SplitHostPort(vm.Address)
	if err != nil {
		return vm, errors.Wrapf(err, "VM %q: address", vm.ID)
	}
	if n, err := strconv.ParseUint(portText, 10, 16); err != nil || n == 0 || host == "" {
		return vm, errors.Newf("VM %q: address %.60q has no host or no valid port", vm.ID, vm.Address)
	}
	return vm, nil
}

// limitNesting replaces each value of a JSON text that lies deeper than a number of levels
// by null. A text without such values is returned unchanged.
func limitNesting(data []byte, levels int) []byte {
	var out []byte
	depth, start, copied := 0, 0, 0
	inString, escaped := false, false
	for i, c := range data {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			if depth++; depth == levels+1 {
				start = i
			}
		case c == ']' || c == '}':
			if depth == levels+1 {
				out = append(append(out, data[copied:start]...), "null"...)
				copied = i + 1
			}
			depth--
		}
	}
	if copied == 0 {
		return data
	}
	return append(out, data[copied:]...)
}
