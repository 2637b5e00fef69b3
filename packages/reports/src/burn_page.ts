/** Renders the burn report as one page that needs nothing else. */
import type { Objective } from "@rosemarypin/schemas";
import { Eta } from "eta";
import type { BurnLine, BurnReport, BurnWindow } from "./burn.ts";
import { plotMissedShare } from "./burn_plot.ts";

/** What each objective asks, for people. */
export const objectiveTitles: Readonly<Record<Objective, string>> = {
  firstToken: "first token in time",
  betweenTokens: "next token in time",
  booking: "booking resolved",
  note: "note applied in time",
};

/** What each state says, for people. */
export const stateTitles: Readonly<Record<BurnLine["state"], string>> = {
  no_events: "no events",
  met: "met",
  burning: "burning",
  burning_fast: "burning fast",
};

const page = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>rosemarypin: service-level burn</title>
<style>
  body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; color: #1c2321; }
  table { border-collapse: collapse; width: 100%; margin: 0.5rem 0 1.5rem; }
  th, td { padding: 0.3rem 0.6rem; border-bottom: 1px solid #d8dedb; text-align: right; }
  th:first-child, td:first-child, .word { text-align: left; }
  .met { color: #1d7a46; } .burning { color: #a35b00; } .burning_fast { color: #b3261e; font-weight: 600; } .no_events { color: #6b7773; }
  .missing { background: #fdf0e1; border-left: 4px solid #a35b00; padding: 0.5rem 1rem; }
  svg { width: 100%; max-width: 640px; display: block; } svg text { font-size: 11px; fill: #56625e; }
  .grid { stroke: #e4e9e7; } .area { fill: #b3261e22; } .edge { fill: none; stroke: #b3261e; stroke-width: 1.5; } .allowed { stroke: #1d7a46; stroke-dasharray: 5 4; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Counts of <%= it.report.instances.length %> instances over the last hour, or since they started. The fast window is five minutes, the slow window an hour. A burn rate of 1 uses up the error budget exactly. In the plots the red line is the share that missed, the dashed line the share that the objective allows.</p>
<% if (it.report.missing.length > 0) { %>
<div class="missing"><strong>Not in these sums:</strong><ul>
<% for (const gap of it.report.missing) { %><li><%= gap.instance %>: <%= gap.reason %></li><% } %>
</ul></div>
<% } %>
<h2>Objectives</h2>
<table><thead><tr><th>objective</th><th>target</th><th>events</th><th>missed</th><th>burn, fast</th><th>burn, slow</th><th>budget left</th><th class="word">state</th></tr></thead><tbody>
<% for (const line of it.report.objectives) { %><tr><td><%= it.title(line) %></td><td><%= it.share(line.target) %></td><td><%= line.slow.total %></td><td><%= line.slow.missed %></td><td><%= it.rate(line.fast) %></td><td><%= it.rate(line.slow) %></td><td><%= it.share(line.budgetLeft) %></td><td class="word <%= line.state %>"><%= it.state(line) %></td></tr>
<% } %></tbody></table>
<% for (const line of it.report.objectives) { %>
<h3><%= it.title(line) %>: missed share by minute</h3>
<%~ it.plot(line) %>
<% } %>
<h2>By organisation and model or service</h2>
<table><thead><tr><th>objective</th><th class="word">organisation</th><th class="word">name</th><th>events</th><th>missed</th><th>burn, fast</th><th>burn, slow</th><th class="word">state</th></tr></thead><tbody>
<% for (const line of it.report.series) { %><tr><td><%= it.title(line) %></td><td class="word"><%= line.organisation %></td><td class="word"><%= line.name %></td><td><%= line.slow.total %></td><td><%= line.slow.missed %></td><td><%= it.rate(line.fast) %></td><td><%= it.rate(line.slow) %></td><td class="word <%= line.state %>"><%= it.state(line) %></td></tr>
<% } %></tbody></table>
<h2>Instances</h2>
<table><thead><tr><th>instance</th><th class="word">failure domain</th><th>counted</th></tr></thead><tbody>
<% for (const instance of it.report.instances) { %><tr><td><%= instance.id %></td><td class="word"><%= instance.failureDomain %></td><td><%= instance.countedSeconds %> s</td></tr>
<% } %></tbody></table>
</body>
</html>
`;

/** Renders the page; names in it are escaped. */
export function renderBurnPage(report: BurnReport): string {
  const eta = new Eta({ autoEscape: true });
  return eta.renderString(page, {
    report,
    title: (line: BurnLine) => objectiveTitles[line.objective],
    state: (line: BurnLine) => stateTitles[line.state],
    share: formatShare,
    rate: formatRate,
    plot: ({ objective, target }: BurnLine) =>
      plotMissedShare(report.minutes[objective], target),
  });
}

/** A share in per cent, or a dash without events. */
export function formatShare(share: number | null): string {
  return share === null ? "-" : `${Number((share * 100).toFixed(1))}%`;
}

/** A burn rate with two digits, or a dash without events. */
export function formatRate({ burnRate }: BurnWindow): string {
  return burnRate === null ? "-" : burnRate.toFixed(2);
}
