package main

import (
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// figure is one measured value.
type figure struct {
	Name  string // with its unit
	Value float64
}

// sweep measures figures at several sizes of one dimension.
type sweep struct {
	Name   string // of the role
	By     string // the dimension
	Sizes  []int
	Target int // the size of the fleet of two years ahead
	Run    func(size int) ([]figure, error)
}

// point is one figure at one size, over the runs.
type point struct {
	Size                float64
	Median, Least, Most float64
}

// slope tells how a figure grows.
type slope struct {
	Points       []point
	At0, Per     float64 // the line through the medians, by least squares
	Least, Most  float64 // slopes of the lines through each run alone
	Residual     float64 // the largest, of the medians, as a share of the value there
	Power        float64 // of the figure's growth by the size, from the logs; NaN where a value is not above 0
	PowerGrowth  float64 // the same of what is above At0 of the line through the two smallest sizes
	AtTarget     float64 // by the line
	Extrapolated float64 // target over the largest size
}

const fits = 0.10 // the largest residual with which a line is said to fit

// fit fits a line to values[run][size].
func fit(sizes []float64, values [][]float64, target float64) (s slope) {
	medians := make([]float64, len(sizes))
	for i, size := range sizes {
		var all []float64
		for _, run := range values {
			all = append(all, run[i])
		}
		slices.Sort(all)
		medians[i] = stat.Quantile(0.5, stat.LinInterp, all, nil)
		if len(all)%2 == 1 {
			medians[i] = all[len(all)/2]
		}
		s.Points = append(s.Points, point{size, medians[i], all[0], all[len(all)-1]})
	}
	s.At0, s.Per = stat.LinearRegression(sizes, medians, nil, false)
	s.Least, s.Most = math.Inf(1), math.Inf(-1)
	for _, run := range values {
		_, per := stat.LinearRegression(sizes, run, nil, false)
		s.Least, s.Most = min(s.Least, per), max(s.Most, per)
	}
	var x, y []float64
	for i, size := range sizes {
		if medians[i] != 0 {
			s.Residual = max(s.Residual, math.Abs(medians[i]-s.At0-s.Per*size)/math.Abs(medians[i]))
		}
		if medians[i] > 0 && size > 0 {
			x, y = append(x, math.Log(size)), append(y, math.Log(medians[i]))
		}
	}
	s.Power = math.NaN()
	if len(x) == len(sizes) {
		_, s.Power = stat.LinearRegression(x, y, nil, false)
	}
	s.AtTarget, s.Extrapolated = s.At0+s.Per*target, target/slices.Max(sizes)
	return s
}

// Fits tells whether a line fits.
func (s slope) Fits() bool { return s.Residual <= fits }

// number words a value with three digits that count, and all of a whole number.
func number(v float64) string {
	a := math.Abs(v)
	switch {
	case a != 0 && (a < 0.001 || a >= 1e7):
		return fmt.Sprintf("%.3g", v)
	case a >= 100 || a == 0 || math.IsNaN(v):
		return fmt.Sprintf("%.0f", v)
	}
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.*f", 2-int(math.Floor(math.Log10(a))), v), "0"), ".")
}

// measured is what a sweep gave.
type measured struct {
	sweep
	Names  []string
	Values map[string][][]float64 // by figure: [run][size]
	Slopes map[string]slope
}

// measure runs a sweep, all sizes once in each run, so that a slow drift of the machine does
// not look like a slope.
func (s sweep) measure(runs int) (measured, error) {
	m := measured{sweep: s, Values: map[string][][]float64{}, Slopes: map[string]slope{}}
	for run := range runs {
		for i, size := range s.Sizes {
			list, err := s.Run(size)
			if err != nil {
				return m, fmt.Errorf("%s by %s, %d: %w", s.Name, s.By, size, err)
			}
			for _, f := range list {
				if run == 0 && i == 0 {
					m.Names = append(m.Names, f.Name)
				}
				rows := m.Values[f.Name]
				if len(rows) == run {
					rows = append(rows, make([]float64, len(s.Sizes)))
				}
				rows[run][i] = f.Value
				m.Values[f.Name] = rows
			}
		}
	}
	var sizes []float64
	for _, size := range s.Sizes {
		sizes = append(sizes, float64(size))
	}
	for _, name := range m.Names {
		m.Slopes[name] = fit(sizes, m.Values[name], float64(s.Target))
	}
	return m, nil
}

// table is what was measured, a figure a row.
func (m measured) table() string {
	t := table.NewWriter()
	head := table.Row{m.Name + ", by " + m.By}
	for _, size := range m.Sizes {
		head = append(head, size)
	}
	t.AppendHeader(append(head, "slope", "of the runs", "at 0", "off the line", "power", fmt.Sprint("at ", m.Target)))
	for _, name := range m.Names {
		s := m.Slopes[name]
		row := table.Row{name}
		for _, p := range s.Points {
			cell := number(p.Median)
			if p.Least != p.Most {
				cell += fmt.Sprintf(" (%s-%s)", number(p.Least), number(p.Most))
			}
			row = append(row, cell)
		}
		power, line := "", "a line"
		if !s.Fits() {
			line = "no line"
			power = number(s.Power)
		}
		at := number(s.AtTarget)
		if s.Extrapolated > 4 {
			at += " (beyond a factor of 4)"
		}
		t.AppendRow(append(row, number(s.Per), number(s.Least)+" to "+number(s.Most), number(s.At0),
			fmt.Sprintf("%.0f%%, %s", 100*s.Residual, line), power, at))
	}
	return t.RenderMarkdown()
}

// draw writes a plot of each figure into a folder.
func (m measured) draw(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var faults []error
	for _, name := range m.Names {
		s := m.Slopes[name]
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = m.Name, m.By, name
		p.Y.Min = 0
		var dots, line plotter.XYs
		for i, size := range m.Sizes {
			for _, run := range m.Values[name] {
				dots = append(dots, plotter.XY{X: float64(size), Y: run[i]})
			}
			line = append(line, plotter.XY{X: float64(size), Y: s.At0 + s.Per*float64(size)})
		}
		sc, err := plotter.NewScatter(dots)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		l.Color = color.RGBA{R: 200, A: 255}
		p.Add(plotter.NewGrid(), sc, l)
		file := strings.Map(func(r rune) rune {
			if strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789", r) {
				return r
			}
			return '-'
		}, strings.ToLower(m.Name+" by "+m.By+" "+name))
		faults = append(faults, p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, file+".svg")))
	}
	return errors.Join(faults...)
}
