package meas

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	figureWidth  = 20 * vg.Centimeter
	figureHeight = 10 * vg.Centimeter
)

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Parse(reportHTML))

// reportData is the input of the page template.
type reportData struct {
	Name    string
	Rows    []string // indented JSON
	Figures []reportFigure
}

// reportFigure is a plot in a file next to the page.
type reportFigure struct{ Title, File string }

// WriteReport writes the rows and figures collected so far to dir, as the page
// <name>.html and one SVG file for each plot. It creates dir if needed.
func (o *Output) WriteReport(dir, name string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data := reportData{Name: name}
	for _, row := range o.rows {
		var b bytes.Buffer
		if err := json.Indent(&b, row, "", "  "); err != nil {
			return err
		}
		data.Rows = append(data.Rows, b.String())
	}
	for i, f := range o.figures {
		file := fmt.Sprintf("%s-%d.svg", name, i+1)
		if err := f.save(filepath.Join(dir, file)); err != nil {
			return err
		}
		data.Figures = append(data.Figures, reportFigure{f.title, file})
	}
	var page bytes.Buffer
	if err := reportTemplate.Execute(&page, data); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".html"), page.Bytes(), 0o644)
}

// save draws the figure and writes it to path.
func (f figure) save(path string) error {
	p := plot.New()
	p.Title.Text = f.title
	p.X.Label.Text, p.Y.Label.Text = f.x, f.y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range f.series {
		l, err := plotter.NewLine(s.xys())
		if err != nil {
			return err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	return p.Save(figureWidth, figureHeight, path)
}

func (s series) xys() plotter.XYs {
	out := make(plotter.XYs, len(s.points))
	for i, q := range s.points {
		out[i] = plotter.XY{X: q.x, Y: q.y}
	}
	return out
}
