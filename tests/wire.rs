//! Tests of the adapter as a process: batches in, replies out, and an error message for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lapisrudder-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("write");
    child.wait_with_output().expect("adapter ends")
}

const START: &str = concat!(
    r#"{"verb":"sync","t-s":1.0}"#,
    "\n",
    r#"{"verb":"start","who":4,"random-seed":9,"options":{"siblings":2,"discovery":"subscribe","new-key":[1],"#,
    r#""request-classes":[{"effect":"free","slo-s":0.5,"give-up-s":2.0,"worth":1.0}],"#,
    r#""bounds":{"attempts-cap":3,"cancel":true,"second-copies":true}}}"#,
    "\n",
    r#"{"verb":"roster-change","who":4,"scope":"warm_copy","revision":1,"entries":[{"host":"a:1","region-part":0,"#,
    r#""kind":0,"bay":0,"stage-state":"live","power-hint":1,"since-s":null,"colour":"red"}]}"#,
    "\n",
    r#"{"verb":"eof-batch"}"#,
    "\n"
);

#[test]
fn a_request_is_sent_and_its_response_is_accepted() {
    let input = [
        START,
        "{\"verb\":\"sync\",\"t-s\":1.5}\n",
        r#"{"verb":"ingress","who":4,"call":77,"entity":"k:a","write":false,"kind":0,"object-size":null,"due-s":3.5,"x":{}}"#,
        "\n{\"verb\":\"eof-batch\"}\n{\"verb\":\"sync\",\"t-s\":1.6}\n",
        r#"{"verb":"response","who":4,"call":77,"host":"a:1","wait-time-s":0.1,"shot":0,"how":"delivered","detail":1,"done-flag":true,"gauge":[1,2.5]}"#,
        "\n",
        r#"{"verb":"response","who":4,"call":78,"host":"b:1","wait-time-s":0.1,"shot":3,"how":"expired","detail":null,"done-flag":true,"gauge":null}"#,
        "\n{\"verb\":\"bell\",\"who\":4,\"token\":0}\n{\"verb\":\"retire\",\"who\":4}\n{\"verb\":\"eof-batch\"}\n",
    ]
    .concat();
    let output = adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert_eq!(text.matches("{\"verb\":\"yield\"}\n").count(), 3);
    assert!(text.contains(r#"{"verb":"watch","who":4,"active":true}"#));
    assert!(text.contains(r#"{"verb":"call-out","who":4,"call":77,"host":"a:1","until-s":3.5}"#));
    assert_eq!(text.matches("call-out").count(), 1);
}

#[test]
fn malformed_input_ends_with_one_error_line() {
    let bad = [
        "hello\n",
        "{\"verb\":\"bell\",\"who\":1}\n",
        "{\"verb\":\"sync\",\"t-s\":1}\n{\"verb\":\"dance\",\"who\":4}\n",
        "{\"verb\":\"sync\",\"t-s\":1}\n{\"verb\":\"bell\",\"who\":4,\"token\":1}\n{\"verb\":\"eof-batch\"}\n",
        "{\"verb\":\"sync\"}\n",
        "{\"verb\":\"sync\",\"t-s\":1}\n",
    ];
    for input in bad {
        let output = adapter(input);
        assert!(!output.status.success(), "{input}");
        let message = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(message.trim_end().lines().count(), 1, "{message}");
        assert!(message.starts_with("lapisrudder-adapter: line "), "{message}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn a_bad_message_after_a_good_batch_leaves_complete_replies_only() {
    let output =
        adapter(&[START, "{\"verb\":\"sync\",\"t-s\":2}\n{\"verb\":\"ingress\",\"who\":4}\n"].concat());
    assert!(!output.status.success());
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(text.ends_with("{\"verb\":\"yield\"}\n") && text.matches("yield").count() == 1);
}

#[test]
fn optional_settings_may_be_present_absent_or_extreme() {
    let with = |rules: &str| START.replace(r#""bounds":"#, &format!(r#""rules":{rules},"bounds":"#));
    for (rules, good) in [
        (r#"{"budget-free":3,"extra-ratio":0.1,"resend-span-s":2.0,"gone-is-advice":true}"#, true),
        (r#"{"budget-free":null,"extra-ratio":null,"resend-span-s":null}"#, true),
        (r#"{"extra-ratio":-7,"resend-span-s":0}"#, true),
        (r#"{"budget-free":1e300,"extra-ratio":9e99,"resend-span-s":1e300}"#, true),
        (r#"{"budget-free":"many"}"#, false),
        (r#"{"gone-is-advice":3}"#, false),
    ] {
        let output = adapter(&with(rules));
        assert_eq!(output.status.success(), good, "{rules}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), usize::from(!good), "{rules}");
    }
}
