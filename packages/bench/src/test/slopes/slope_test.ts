import test from 'ava';
import {workOut} from '../../lib/slopes/capacity.js';
import type {Figure} from '../../lib/slopes/capacity.js';
import {FIGURES} from '../../lib/slopes/figures.js';
import {fitLine, median, slopeOf} from '../../lib/slopes/slope.js';
import {betweenMarkers, numberText} from '../../lib/slopes/slopes_text.js';

const POINTS = [
  {x: 1, y: 5},
  {x: 2, y: 7},
  {x: 4, y: 11},
];

test('a line goes through points that lie on one', t => {
  const {slope, intercept, residual} = fitLine(POINTS);
  t.true(Math.abs(slope - 2) < 1e-9);
  t.true(Math.abs(intercept - 3) < 1e-9);
  t.true(residual < 1e-9);
});

test('the residual is the largest distance as a share of the largest', t => {
  const bent = fitLine([
    {x: 0, y: 0},
    {x: 1, y: 4},
    {x: 2, y: 2},
  ]);
  t.true(Math.abs(bent.slope - 1) < 1e-9);
  t.true(Math.abs(bent.residual - 0.5) < 1e-9);
});

test('a figure is the sum of slope times size, with its base and unit', t => {
  const slopes = [slopeOf('a', 'a', 'ms', POINTS)];
  const figure: Figure = {
    role: 'entry',
    what: 'x',
    unit: '%',
    carriedBy: 'y',
    terms: [
      {slope: 'a', size: 10, base: true, scale: 0.1},
      {slope: 'a', size: 5},
    ],
  };
  const worked = workOut(slopes, figure)!;
  t.true(Math.abs(worked.value - (2.3 + 10)) < 1e-9);
  t.regex(worked.how, /^\(2(\.00)? × 10 \+ 3/);
  t.is(workOut([], figure), undefined);
});

test('every figure names its terms and what carries it', t => {
  for (const {terms, carriedBy} of FIGURES) {
    t.true(terms.length > 0);
    t.not(carriedBy, '');
  }
});

test('medians and numbers are as people read them', t => {
  t.is(median([3, 1, 2]), 2);
  t.is(median([4, 1, 2, 3]), 2.5);
  t.is(numberText(1234.5), '1,235');
  t.is(numberText(12.34), '12.3');
  t.is(numberText(0.01234), '0.012');
});

test('only what is between the markers of a page changes', t => {
  const page = 'a\n<!-- m: begin -->\nold\n<!-- m: end -->\nb\n';
  const next = betweenMarkers(page, 'm', 'new');
  t.is(next, 'a\n<!-- m: begin -->\n\nnew\n\n<!-- m: end -->\nb\n');
  t.is(betweenMarkers(next, 'm', 'new'), next);
  t.throws(() => betweenMarkers(page, 'n', 'x'), {message: /no markers/});
});
