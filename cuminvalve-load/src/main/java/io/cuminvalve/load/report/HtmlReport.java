package io.cuminvalve.load.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Renders a summary as one HTML page with its plots inside.
 *
 * @since 0.1
 */
public final class HtmlReport {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 320;

  private HtmlReport() {}

  /**
   * Renders a page.
   *
   * @param summary the results; not null
   * @param seconds the timeline; not null
   * @return HTML
   */
  public static String render(LoadSummary summary, List<Timeline.Second> seconds) {
    StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<meta charset=\"utf-8\">\n");
    page.append("<title>cuminvalve load</title>\n<h1>Load of ").append(summary.profile());
    page.append("</h1>\n").append(image(rates(seconds))).append(image(latencies(seconds)));
    return page.append("<pre>").append(SummaryJson.write(summary)).append("</pre>\n").toString();
  }

  private static JFreeChart rates(List<Timeline.Second> seconds) {
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(series("served", seconds, Timeline.Second::served));
    data.addSeries(series("failed", seconds, Timeline.Second::failed));
    return ChartFactory.createXYLineChart("Attempts", "second", "per second", data);
  }

  private static JFreeChart latencies(List<Timeline.Second> seconds) {
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(series("longest", seconds, Timeline.Second::maxLatencyMs));
    return ChartFactory.createXYLineChart("Latency", "second", "ms", data);
  }

  private static XYSeries series(
      String name, List<Timeline.Second> seconds, ToDoubleFunction<Timeline.Second> value) {
    XYSeries series = new XYSeries(name);
    for (int i = 0; i < seconds.size(); i++) {
      series.add(i, value.applyAsDouble(seconds.get(i)));
    }
    return series;
  }

  private static String image(JFreeChart chart) {
    System.setProperty("java.awt.headless", "true");
    ByteArrayOutputStream png = new ByteArrayOutputStream();
    try {
      ChartUtils.writeChartAsPNG(png, chart, WIDTH, HEIGHT);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String encoded = Base64.getEncoder().encodeToString(png.toByteArray());
    return "<p><img alt=\"plot\" src=\"data:image/png;base64," + encoded + "\"></p>\n";
  }
}
