/** State machines: allowed transitions, and calls of the listener. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IllegalTransitionError, StateMachine, type Transitions } from '../src/state-machine.js';

type Light = 'red' | 'green' | 'off';

const TRANSITIONS: Transitions<Light> = { red: ['green'], green: ['red', 'off'], off: [] };

function recordingMachine(): { machine: StateMachine<Light>; events: string[] } {
  const events: string[] = [];
  const machine: StateMachine<Light> = new StateMachine(`light`, TRANSITIONS, 'red', {
    beforeTransition: (from, to, reason) =>
      events.push(`before ${from} ${to} (${reason}): ${machine.state}`),
    afterTransition: (from, to) => events.push(`after ${from} ${to}: ${machine.state}`),
  });
  return { machine, events };
}

test('a listed transition changes the state, and the listener is called before and after it', () => {
  const { machine, events } = recordingMachine();
  machine.transitionTo('green', 'time');
  assert.equal(machine.state, 'green');
  assert.deepEqual(events, ['before red green (time): red', 'after red green: green']);
});

test('a transition that is not listed throws and changes nothing', () => {
  const { machine, events } = recordingMachine();
  assert.throws(() => {
    machine.transitionTo('off', 'time');
  }, IllegalTransitionError);
  assert.equal(machine.state, 'red');
  assert.deepEqual(events, []);
});

test('a transition to the current state is ignored', () => {
  const { machine, events } = recordingMachine();
  machine.transitionTo('red', 'time');
  assert.deepEqual(events, []);
});
