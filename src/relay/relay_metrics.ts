/**
 * Counters, gauges and latency histograms in the Prometheus text format. The
 * usual client library isn't used: it takes 13 MB, more than the rest of the
 * serving path, which needs only counters and fixed buckets.
 */

import type {RouteKind} from '../core/routing_types.js';
import type {JobOutcome} from './job_outcome.js';

export interface RelayMetrics {
  requestEnded(
    service: string | undefined,
    kind: RouteKind | undefined,
    outcome: JobOutcome,
    durationMs: number,
  ): void;
  count(name: CounterName, labels?: string): void;
  /** Registers a gauge; `read` is called at each scrape. */
  gauge(name: string, help: string, read: () => number): void;
  render(): string;
}

/** Counters and their help texts; callers bound the number of labels. */
const COUNTERS = {
  requests: 'Requests that ended, by service, kind and end.',
  upstream_connections: 'Connections opened to upstreams and the store.',
  store_calls: 'Calls to the platform store, by call and outcome.',
  log_lines_dropped: 'Log lines that were left out.',
  account_refusals: 'Requests refused for their key or limit, by reason.',
  limit_refusals: 'Requests over the limit of their account, by priority.',
  quota_fields_ignored: 'Invalid fields in messages on limits of accounts.',
  loss_facts_ignored: 'Invalid losses of requests in datagrams of peers.',
  upstream_signals: 'Answers in which upstreams say something of themselves.',
  sends_withheld: 'Sends held back as upstreams ask for less, by reason.',
  role_orders: 'Orders to engines to change their role, by outcome.',
  retries: 'Retries that were allowed, by service and by whom.',
  slow_callers_closed:
    'Callers disconnected as they read too slowly, by cause.',
  memory_ends: 'Requests ended as memory was scarce, by what they held.',
  memory_collections: 'Collections of garbage near the limit, by kind.',
  bodies_refused: 'Requests refused before their body was read, by reason.',
  connections_ended: 'Connections ended as there were too many, by cause.',
  forwarded_calls: 'Calls to upstreams that peers were asked to make, by end.',
  served_calls: 'Calls to upstreams that peers asked for, by result.',
  runs_left: 'Runs left for another engine as they were silent, by reason.',
  runs_kept: 'Silent runs that went on while another was prepared.',
  take_ups: 'Streams that callers took up, by what the decision rests on.',
  archived_origins: 'Writes of origins of streams to the store, by outcome.',
  retries_denied: 'Retries that were denied, by service and cause.',
} as const;

export type CounterName = keyof typeof COUNTERS;

const PREFIX = 'corianderbend_relay_';
/** Upper bounds that cover plain calls up to the longest stream. */
const BUCKETS_MS = [
  10, 25, 50, 100, 250, 500, 900, 2_000, 5_000, 15_000,
] as const;
/** Further labels share one series; they hold names from configurations. */
const MAX_SERIES = 200;

interface Histogram {
  readonly counts: number[];
  sumMs: number;
  total: number;
}

const toText = (value: number) => (value === Infinity ? '+Inf' : String(value));

export function createRelayMetrics(): RelayMetrics {
  const counters = new Map<CounterName, Map<string, number>>();
  const histograms = new Map<string, Histogram>();
  const gauges: Array<{name: string; help: string; read: () => number}> = [];

  function count(name: CounterName, labels = ''): void {
    const series = counters.get(name) ?? new Map<string, number>();
    counters.set(name, series);
    const isKnown = series.has(labels) || series.size < MAX_SERIES;
    const key = isKnown ? labels : 'overflow="true"';
    series.set(key, (series.get(key) ?? 0) + 1);
  }

  function observe(labels: string, valueMs: number): void {
    const known = histograms.get(labels);
    if (!known && histograms.size >= MAX_SERIES) return;
    const histogram = known ?? {
      counts: BUCKETS_MS.map(() => 0),
      sumMs: 0,
      total: 0,
    };
    histograms.set(labels, histogram);
    histogram.total++;
    histogram.sumMs += valueMs;
    const index = BUCKETS_MS.findIndex(bound => valueMs <= bound);
    if (index >= 0) histogram.counts[index]++;
  }

  function renderHistogram(labels: string, histogram: Histogram): string[] {
    const name = `${PREFIX}duration_ms`;
    let below = 0;
    const lines = BUCKETS_MS.map((bound, index) => {
      below += histogram.counts[index];
      return `${name}_bucket{${labels},le="${bound}"} ${below}`;
    });
    return [
      ...lines,
      `${name}_bucket{${labels},le="+Inf"} ${histogram.total}`,
      `${name}_sum{${labels}} ${histogram.sumMs}`,
      `${name}_count{${labels}} ${histogram.total}`,
    ];
  }

  function renderCounter(name: CounterName): string[] {
    const series = [...(counters.get(name) ?? [])];
    return [
      `# HELP ${PREFIX}${name}_total ${COUNTERS[name]}`,
      `# TYPE ${PREFIX}${name}_total counter`,
      ...series.map(([labels, value]) => {
        const braces = labels ? `{${labels}}` : '';
        return `${PREFIX}${name}_total${braces} ${value}`;
      }),
    ];
  }

  return {
    requestEnded(service, kind, outcome, durationMs) {
      const labels = `service="${service ?? ''}",kind="${kind ?? ''}",end="${outcome.end}"`;
      count('requests', labels);
      observe(labels, durationMs);
    },
    count,
    gauge(name, help, read) {
      gauges.push({name, help, read});
    },
    render() {
      const names = Object.keys(COUNTERS) as CounterName[];
      const lines = names.flatMap(renderCounter);
      lines.push(`# TYPE ${PREFIX}duration_ms histogram`);
      for (const [labels, histogram] of histograms) {
        lines.push(...renderHistogram(labels, histogram));
      }
      for (const {name, help, read} of gauges) {
        lines.push(
          `# HELP ${PREFIX}${name} ${help}`,
          `# TYPE ${PREFIX}${name} gauge`,
          `${PREFIX}${name} ${toText(read())}`,
        );
      }
      return `${lines.join('\n')}\n`;
    },
  };
}
