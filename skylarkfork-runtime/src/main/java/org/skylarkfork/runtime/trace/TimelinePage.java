package org.skylarkfork.runtime.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Writes a time line as one HTML page that needs nothing else, with a lane for each node. */
public final class TimelinePage {

  private static final String HEAD =
      """
      <!DOCTYPE html>
      <html lang="en"><head><meta charset="utf-8"><title>Time line</title>
      <style>
      body{font:13px sans-serif;margin:1em}
      table{border-collapse:collapse;width:100%}
      th{position:sticky;top:0;background:#eee;text-align:left}
      th,td{border-left:1px solid #ccc;padding:2px 6px;vertical-align:top}
      tr:hover td{background:#f4f8ff}
      td.t{font-family:monospace;white-space:nowrap}
      td b{margin-right:.5em}
      td span{color:#555;margin-right:.5em}
      input{width:30em;margin:0 0 1em}
      </style></head><body>
      <label>Filter: <input id="f" placeholder="request, session, version, upstream or event">
      </label> <span id="n"></span>
      """;

  private static final String SCRIPT =
      """
      <script>
      const box = document.getElementById('f');
      const rows = Array.from(document.querySelectorAll('tbody tr'));
      function show() {
        const words = box.value.toLowerCase().split(/\\s+/).filter(w => w);
        let shown = 0;
        for (const row of rows) {
          const text = row.textContent.toLowerCase();
          const wanted = words.every(w => text.includes(w));
          row.hidden = !wanted;
          if (wanted) shown++;
        }
        document.getElementById('n').textContent = shown + ' of ' + rows.length + ' lines';
      }
      box.addEventListener('input', show);
      show();
      </script></body></html>
      """;

  private TimelinePage() {}

  /** Returns the page. */
  public static String of(Timeline timeline) {
    List<String> nodes =
        new ArrayList<>(
            new TreeSet<>(timeline.lines().stream().map(TimelineRecord::node).toList()));
    StringBuilder page = new StringBuilder(HEAD);
    page.append("<table><thead><tr><th>time</th>");
    nodes.forEach(node -> page.append("<th>").append(escaped(node)).append("</th>"));
    page.append("</tr></thead><tbody>\n");
    timeline.lines().forEach(line -> row(page, nodes, line));
    return page.append("</tbody></table>\n").append(SCRIPT).toString();
  }

  private static void row(StringBuilder page, List<String> nodes, TimelineRecord line) {
    page.append("<tr><td class=\"t\">").append(line.at()).append("</td>");
    for (String node : nodes) {
      page.append("<td>");
      if (node.equals(line.node())) {
        cell(page, line);
      }
      page.append("</td>");
    }
    page.append("</tr>\n");
  }

  private static void cell(StringBuilder page, TimelineRecord line) {
    page.append("<b>").append(escaped(line.what())).append("</b>");
    fact(page, "request", line.requestId());
    fact(page, "session", line.session());
    fact(page, "version", line.version());
    fact(page, "upstream", line.upstream());
    page.append(escaped(line.detail()));
  }

  private static void fact(StringBuilder page, String name, @Nullable String value) {
    if (value != null) {
      page.append("<span>").append(name).append(' ').append(escaped(value)).append("</span>");
    }
  }

  /** Callers choose the names of sessions, which must not run as a script in the page. */
  private static String escaped(String text) {
    StringBuilder safe = new StringBuilder(text.length());
    for (char one : text.toCharArray()) {
      switch (one) {
        case '<' -> safe.append("&lt;");
        case '>' -> safe.append("&gt;");
        case '&' -> safe.append("&amp;");
        case '"' -> safe.append("&quot;");
        case '\'' -> safe.append("&#39;");
        default -> safe.append(one);
      }
    }
    return safe.toString();
  }
}
