/** Writes the line charts of the operators' documentation as SVG files. */

import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {runSeeds} from './bars.js';
import {WASTE_WEIGHTS} from './weights_and_returns.js';
import type {RunResult} from './metrics.js';
import {BASELINES, dispatcherFactory, FULL_POLICY} from './scheduler.js';
import {SHAPES, type Shape} from './workload.js';

interface Line {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

interface Chart {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly lines: readonly Line[];
}

const WIDTH = 640;
const HEIGHT = 360;
const LEFT = 60;
const RIGHT = 150;
const TOP = 36;
const BOTTOM = 46;
const TICKS = 5;
const COLORS = ['#0b6e4f', '#c0392b', '#2c5aa0', '#b7791f', '#7d3c98'];

function bounds(values: readonly number[]): readonly [number, number] {
  const low = Math.min(...values);
  const high = Math.max(...values);
  return low === high ? [low - 1, high + 1] : [low, high];
}

function label(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

export function drawChart(chart: Chart): string {
  const points = chart.lines.flatMap(line => line.points);
  const [xLow, xHigh] = bounds(points.map(([x]) => x));
  const [yLow, yHigh] = bounds(points.map(([, y]) => y));
  const innerWidth = WIDTH - LEFT - RIGHT;
  const innerHeight = HEIGHT - TOP - BOTTOM;
  const toX = (x: number) => LEFT + ((x - xLow) / (xHigh - xLow)) * innerWidth;
  const toY = (y: number) =>
    TOP + innerHeight - ((y - yLow) / (yHigh - yLow)) * innerHeight;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="#fff"/>`,
    `<text x="${LEFT}" y="20" font-size="14">${chart.title}</text>`,
    `<text x="${LEFT + innerWidth / 2}" y="${HEIGHT - 8}" text-anchor="middle">${chart.xTitle}</text>`,
    `<text x="14" y="${TOP + innerHeight / 2}" text-anchor="middle" transform="rotate(-90 14 ${TOP + innerHeight / 2})">${chart.yTitle}</text>`,
  ];
  for (let i = 0; i <= TICKS; i++) {
    const x = xLow + ((xHigh - xLow) * i) / TICKS;
    const y = yLow + ((yHigh - yLow) * i) / TICKS;
    const yAt = toY(y).toFixed(1);
    parts.push(
      `<path d="M${LEFT} ${yAt}h${innerWidth}" stroke="#ddd"/>`,
      `<text x="${LEFT - 6}" y="${yAt}" text-anchor="end" dy="4">${label(y)}</text>`,
      `<text x="${toX(x).toFixed(1)}" y="${HEIGHT - BOTTOM + 16}" text-anchor="middle">${label(x)}</text>`,
    );
  }
  chart.lines.forEach((line, i) => {
    const color = COLORS[i % COLORS.length];
    const d = line.points
      .map(
        ([x, y], j) =>
          `${j === 0 ? 'M' : 'L'}${toX(x).toFixed(1)} ${toY(y).toFixed(1)}`,
      )
      .join('');
    const yAt = TOP + 14 + i * 18;
    parts.push(
      `<path d="${d}" fill="none" stroke="${color}" stroke-width="2"/>`,
      `<path d="M${WIDTH - RIGHT + 12} ${yAt - 4}h18" stroke="${color}" stroke-width="2"/>`,
      `<text x="${WIDTH - RIGHT + 36}" y="${yAt}">${line.name}</text>`,
    );
  });
  parts.push('</svg>\n');
  return parts.join('\n');
}

const PLOT_LOADS = [0.6, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2] as const;
const FOLDER = 'docs/operators/plots';

function mean(runs: readonly RunResult[], read: (run: RunResult) => number) {
  return runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
}

function write(name: string, chart: Chart): void {
  const file = path.join(FOLDER, `${name}.svg`);
  writeFileSync(file, drawChart(chart));
  console.log(`wrote ${file}`);
}

function plotLoads(shape: Shape, seeds: number): void {
  const policies = [['corianderbend', FULL_POLICY] as const, ...BASELINES];
  const goodput: Line[] = [];
  const waste: Line[] = [];
  for (const [name, factory] of policies) {
    const byLoad = PLOT_LOADS.map(
      load => [load, runSeeds(shape, factory, seeds, {load})] as const,
    );
    goodput.push({
      name,
      points: byLoad.map(([load, runs]) => [
        load,
        mean(runs, run => 100 * run.goodShare),
      ]),
    });
    waste.push({
      name,
      points: byLoad.map(([load, runs]) => [
        load,
        mean(runs, run => 100 * run.wastedShare),
      ]),
    });
  }
  write(`goodput_${shape.name}`, {
    title: `${shape.name}: goodput under both targets`,
    xTitle: 'offered load, times capacity',
    yTitle: '% of the bound',
    lines: goodput,
  });
  write(`waste_${shape.name}`, {
    title: `${shape.name}: wasted prefills`,
    xTitle: 'offered load, times capacity',
    yTitle: '% of prefills',
    lines: waste,
  });
}

function plotWeights(seeds: number): void {
  const goodput: Line[] = [];
  const waste: Line[] = [];
  for (const shape of Object.values(SHAPES)) {
    const byWeight = WASTE_WEIGHTS.map(wasteWeight => {
      const factory = dispatcherFactory(
        {},
        {wasteWeight, hasImportRetries: true},
      );
      return [
        wasteWeight,
        runSeeds(shape, factory, seeds, {load: 1.3}),
      ] as const;
    });
    goodput.push({
      name: shape.name,
      points: byWeight.map(([x, runs]) => [
        x,
        mean(runs, run => 100 * run.goodShare),
      ]),
    });
    waste.push({
      name: shape.name,
      points: byWeight.map(([x, runs]) => [
        x,
        mean(runs, run => 100 * run.wastedTokenShare),
      ]),
    });
  }
  write('weight_goodput', {
    title: 'wasteWeight at 1.3 of capacity: goodput',
    xTitle: 'wasteWeight',
    yTitle: '% of the bound',
    lines: goodput,
  });
  write('weight_waste', {
    title: 'wasteWeight at 1.3 of capacity: wasted prompt tokens',
    xTitle: 'wasteWeight',
    yTitle: '% of tokens computed',
    lines: waste,
  });
}

export function runPlots(seeds: number): void {
  mkdirSync(FOLDER, {recursive: true});
  plotWeights(seeds);
  for (const shape of Object.values(SHAPES)) plotLoads(shape, seeds);
}
