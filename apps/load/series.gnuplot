# Renders the series of a briarfold-load report: gnuplot -e "data='report.json.tsv'; image='report.png'" series.gnuplot
set terminal pngcairo size 1000,900
set output image
set datafile separator "\t"
set key outside right
set multiplot layout 3,1
set xlabel "time (s)"
set ylabel "requests/s"
plot for [column=2:5] data using 1:column with lines title columnheader(column)
set ylabel "latency (ms)"
set logscale y
plot data using 1:6 with lines title "p50", data using 1:7 with lines title "p99"
unset logscale y
set ylabel "max/mean load"
set yrange [0.9:*]
plot data using 1:8 with lines title "imbalance"
unset multiplot
