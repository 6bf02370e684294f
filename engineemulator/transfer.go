package engineemulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// wireExportRequest is the body of POST /v1/kv_export.
type wireExportRequest struct {
	Account string   `json:"account"`
	Weights string   `json:"weights"`
	Blocks  []string `json:"blocks"`
}

// wireExportHeader is the first line of an exported body; the bytes of the blocks follow it.
type wireExportHeader struct {
	Account string              `json:"account"`
	Weights string              `json:"weights"`
	Blocks  []wireExportedBlock `json:"blocks"`
}

type wireExportedBlock struct {
	Block  string `json:"block"`
	Tokens int    `json:"tokens"`
}

type wireImportResult struct {
	Blocks int `json:"blocks"`
}

func (e *Engine) handleKVExport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	var wanted wireExportRequest
	body := http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes)
	if err := json.NewDecoder(body).Decode(&wanted); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return
	}
	exported := e.exportBlocks(inc, wanted)
	if len(exported.Blocks) == 0 {
		writeRefusal(w, &refusal{http.StatusNotFound, "not_cached", "none of the blocks is cached"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(exported)
	_, _ = w.Write(make([]byte, len(exported.Blocks)*e.settings.BlockBytes))
}

// exportBlocks returns the wanted blocks that are cached for the account and the weights.
func (e *Engine) exportBlocks(inc *incarnation, wanted wireExportRequest) wireExportHeader {
	e.mu.Lock()
	defer e.mu.Unlock()
	exported := wireExportHeader{Account: wanted.Account, Weights: wanted.Weights}
	for _, text := range wanted.Blocks {
		hash, err := hasher.ParseBlock(text)
		if err != nil {
			continue
		}
		block, ok := inc.cache.get(hash)
		if !ok || block.account != wanted.Account || block.weights != wanted.Weights {
			continue
		}
		exported.Blocks = append(exported.Blocks, wireExportedBlock{Block: text, Tokens: block.prefixTokens})
	}
	return exported
}

func (e *Engine) handleKVImport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	if err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "unreadable_body", "the body could not be read"})
		return
	}
	line, _, _ := bytes.Cut(body, []byte{'\n'})
	var exported wireExportHeader
	if err := json.Unmarshal(line, &exported); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", "the body is not an export"})
		return
	}
	imported, refused := e.importBlocks(inc, exported)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, wireImportResult{Blocks: imported})
}

// importBlocks caches the blocks of an export and returns their number. It skips malformed
// block names.
func (e *Engine) importBlocks(inc *incarnation, exported wireExportHeader) (imported int, refused *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.weightsLoaded(exported.Weights) {
		return 0, &refusal{http.StatusConflict, "weights_not_loaded", "the weights are not loaded"}
	}
	for _, block := range exported.Blocks {
		hash, err := hasher.ParseBlock(block.Block)
		if err != nil {
			continue
		}
		inc.cache.store(cachedBlock{
			hash: hash, account: exported.Account, weights: exported.Weights, prefixTokens: block.Tokens,
		})
		imported++
	}
	e.counters.ImportedBlocks += imported
	inc.progress++
	e.recordLoad(inc)
	return imported, nil
}
