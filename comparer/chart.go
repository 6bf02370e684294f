package comparer

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	barWidth    = 14 * vg.Millimeter
)

// chartPanel is the bar chart of one metric.
type chartPanel struct {
	title string
	value func(Result) float64
}

func chartPanels() []chartPanel {
	return []chartPanel{
		{"hit rate", func(r Result) float64 { return r.HitRate }},
		{"time to first token, p99, s", func(r Result) float64 { return r.TTFT99.Seconds() }},
		{"recomputed tokens, millions", func(r Result) float64 { return float64(r.RecomputedTokens) / 1e6 }},
	}
}

// WriteChart writes an SVG image with one bar chart for each of three metrics and one bar for each policy.
func WriteChart(writer io.Writer, settings Settings, results []Result) (err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	canvas := vgsvg.New(chartWidth, chartHeight)
	panels := chartPanels()
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: 4 * vg.Millimeter, PadTop: 2 * vg.Millimeter}
	for column, panel := range panels {
		panelPlot, err := drawPanel(settings, panel, results)
		if err != nil {
			return err
		}
		panelPlot.Draw(tiles.At(draw.New(canvas), column, 0))
	}
	_, err = canvas.WriteTo(writer)
	return err
}

func drawPanel(settings Settings, panel chartPanel, results []Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d, load %.2f, fault %s\n%s",
		settings.Deployment.Name, settings.Seed, settings.Load, settings.Fault, panel.title)
	p.Title.TextStyle.Font.Size = 8
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, result := range results {
		values = append(values, panel.value(result))
		names = append(names, string(result.Policy))
	}
	bars, err := plotter.NewBarChart(values, barWidth/2)
	if err != nil {
		return nil, err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.8
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.Font.Size = 7
	return p, nil
}
